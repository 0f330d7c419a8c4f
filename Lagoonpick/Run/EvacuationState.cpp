#include "Lagoonpick/Run/EvacuationState.h"

#include <algorithm>
#include <fmt/format.h>

namespace Lagoonpick {

namespace {

/// Limit on the names in a log line.
constexpr std::size_t maxLoggedBytes = 1000;

std::string joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names) {
        if (text.size() + name.size() > maxLoggedBytes)
            return text + ",...";
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

/// The name as a JSON string. Control characters are left out.
std::string quote(std::string_view name)
{
    std::string quoted = "\"";
    for (char character : name) {
        if (character == '"' || character == '\\')
            quoted += '\\';
        if (static_cast<unsigned char>(character) >= ' ')
            quoted += character;
    }
    return quoted + '"';
}

} // namespace

bool EvacuationState::recordRead(Wire::EvacuatedZones read, Time now)
{
    if (read.revision_ <= confirmedRevision_ || read.revision_ <= set_.revision_)
        return false;
    confirmedRevision_ = read.revision_;
    if (isKnown() && read.names_ == set_.names_)
        return false;
    return replace(std::move(read), now);
}

bool EvacuationState::merge(const Wire::EvacuatedZones& received, Time now)
{
    if (received.revision_ <= set_.revision_)
        return false;
    bool isSame = isKnown() && received.names_ == set_.names_;
    if (received.revision_ <= confirmedRevision_) {
        // If the names differ, the sender's are older than what this process read: the higher revision makes it take them over.
        set_.revision_ = isSame ? received.revision_ : confirmedRevision_;
        return false;
    }
    if (!isSame)
        return replace(received, now);
    set_.revision_ = received.revision_;
    return false;
}

bool EvacuationState::replace(Wire::EvacuatedZones set, Time now)
{
    set_ = std::move(set);
    changedAt_ = now;
    return true;
}

bool EvacuationState::contains(std::string_view zone) const
{
    return std::binary_search(set_.names_.begin(), set_.names_.end(), zone, std::less<>());
}

LogLine describeChange(const EvacuationState& state, std::string_view source)
{
    LogLine line("evacuation_changed");
    line.text("zones", joinNames(state.set().names_)).number("count", state.set().names_.size()).number("revision", state.revision()).text("source", source);
    return line;
}

std::string dumpZones(const EvacuationState& state, Time now)
{
    std::string names;
    for (const auto& name : state.set().names_)
        names += (names.empty() ? "" : ",") + quote(name);
    auto age = state.isKnown() ? (now - state.changedAt()) / std::chrono::milliseconds(1) : 0;
    return fmt::format("{{\"zones\":[{}],\"revision\":{},\"age_ms\":{}}}", names, state.revision(), age);
}

} // namespace Lagoonpick
