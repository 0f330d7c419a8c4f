#include "Lagoonpick/Run/ConfigurationFetch.h"

namespace Lagoonpick {

namespace {

/// Time between the first offer of a newer version and the request. By then most entries have read it from the store, so that
/// few ask at all, and the requests of agents spread over all entries rather than hit the first one.
constexpr Duration fetchDelay = std::chrono::milliseconds(300);
/// Minimum interval between two requests; also the timeout of a request.
constexpr Duration fetchInterval = std::chrono::milliseconds(1000);

} // namespace

bool ConfigurationFetch::mustAsk(std::uint64_t offered, std::uint64_t installed, Time now)
{
    if (installed != installed_)
        offeredSince_.reset();
    installed_ = installed;
    if (offered <= installed)
        return false;
    if (!offeredSince_)
        offeredSince_ = now;
    if (installed && now - *offeredSince_ < fetchDelay)
        return false;
    if (askedAt_ && now - *askedAt_ < fetchInterval)
        return false;
    askedAt_ = now;
    return true;
}

} // namespace Lagoonpick
