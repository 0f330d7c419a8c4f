#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Addresses, each with when it was last heard of. An address that nobody names any more is given up after a while.
class AddressTable {
public:
    /// Takes the address in, or keeps it for another lifetime. A full table takes no new one.
    void note(const std::string& address, Time now);

    /// The addresses that are still worth a try, in order.
    std::vector<std::string> addresses(Time now) const;

private:
    void forgetOld(Time now);

    std::map<std::string, Time> notedAt_;
};

} // namespace Lagoonpick
