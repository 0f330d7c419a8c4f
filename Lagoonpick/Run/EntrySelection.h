#pragma once

#include "Lagoonpick/Core/Time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Lagoonpick {

/// Chooses the entries that an agent attaches to, so that an agent's number of links does not grow with the fleet.
///
/// Each agent orders all entries by a hash of its own name and the entry's address (rendezvous hashing) and attaches to the
/// first ones. The orders of different agents are independent, so every entry gets about the same number of agents from all
/// availability zones, and an entry that is added or lost only affects the agents that it ranks first for.
class EntrySelection {
public:
    /// `size` is the number of entries to be connected to.
    EntrySelection(std::string agent, std::size_t size);

    /// Returns the addresses to keep links to, given all known addresses and those that are connected now.
    ///
    /// An entry that can't be reached is replaced by the next one but remains chosen, so that the agent returns to it. A
    /// connected entry stays chosen until enough entries before it are connected.
    std::set<std::string> choose(const std::set<std::string>& known, const std::set<std::string>& connected, Time now);

private:
    std::vector<std::string> rank(const std::set<std::string>& known) const;
    /// True if the entry is connected or there was not enough time to connect to it.
    bool isPromising(const std::string& address, Time now);

    std::string agent_;
    std::size_t size_;
    /// Since when each chosen entry has been tried without a connection.
    std::map<std::string, Time> triedSince_;
};

} // namespace Lagoonpick
