#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Addresses of entries, each with the time when it was last recorded. An address expires 60 s after that.
class AddressTable {
public:
    /// Adds an address or restarts its lifetime. A full table ignores new addresses. Returns false for a text that is no address
    /// to connect to, which is never kept.
    bool record(const std::string& address, Time now);

    /// The addresses that have not expired, sorted.
    std::vector<std::string> addresses(Time now) const;

private:
    void removeExpired(Time now);

    std::map<std::string, Time> recordedAt_;
};

} // namespace Lagoonpick
