#include "Control/ControlSettings.h"

#include "Lagoonpick/Core/SocketAddress.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

namespace Lagoonpick {

ControlSettings readControlSettings(SettingsReader& reader)
{
    ControlSettings settings;
    std::string list = reader.text("ctl", "processes");
    boost::algorithm::split(settings.processes_, list, boost::algorithm::is_any_of(", "), boost::algorithm::token_compress_on);
    std::erase_if(settings.processes_, [](const std::string& address) { return address.empty(); });
    for (const auto& address : settings.processes_) {
        if (!isSocketAddress(address))
            reader.addFault("ctl", "processes", address, "give a list of IP:port with numeric addresses");
    }
    settings.timeout_ = reader.milliseconds("ctl", "timeout_ms", settings.timeout_, std::chrono::milliseconds(10), std::chrono::minutes(1));
    return settings;
}

} // namespace Lagoonpick
