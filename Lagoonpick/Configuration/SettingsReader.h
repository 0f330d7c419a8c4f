#pragma once

#include "Lagoonpick/Core/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// Something wrong with a settings file.
struct SettingFault {
    std::string file_;
    /// From 1; 0 if the fault is in no line, as for a missing key.
    std::uint32_t line_ { 0 };
    std::string section_;
    std::string key_;
    std::string found_;
    std::string remedy_;
    bool operator==(const SettingFault&) const = default;

    /// One line for a person.
    std::string toString() const;
};

/// Reads settings from INI text and collects every fault, so that all are reported at once.
///
/// Call a reading function for every setting there is, then `finish`: keys that were not asked for are faults. A
/// faulty setting reads as its default. Not thread-safe.
class SettingsReader {
public:
    /// `file` is the name to report.
    SettingsReader(std::string file, std::string_view text);

    /// A text of at least one character; a missing one is a fault unless there is a default.
    std::string text(std::string_view section, std::string_view key, std::string_view otherwise = {});

    /// A whole number from `least` to `most`.
    std::uint64_t number(std::string_view section, std::string_view key, std::uint64_t otherwise, std::uint64_t least, std::uint64_t most);

    /// A span in whole milliseconds, from `least` to `most`.
    Duration milliseconds(std::string_view section, std::string_view key, Duration otherwise, Duration least, Duration most);

    /// A decimal number from `least` to `most`.
    double decimal(std::string_view section, std::string_view key, double otherwise, double least, double most);

    /// An address as `IP:port`; the host must be a number. A missing one is a fault unless there is a default.
    std::string address(std::string_view section, std::string_view key, std::string_view otherwise = {});

    /// Reports a fault that the reading functions can't see, as of two settings that don't go together.
    void fault(std::string_view section, std::string_view key, std::string found, std::string remedy);

    /// Every fault so far and the keys that nobody asked for.
    std::vector<SettingFault> finish();

private:
    struct Value {
        std::string text_;
        std::uint32_t line_ { 0 };
    };
    using Name = std::pair<std::string, std::string>;

    void parse(std::string_view text);
    const Value* find(std::string_view section, std::string_view key);
    void report(std::string_view section, std::string_view key, const Value* value, std::string remedy);

    std::string file_;
    std::map<Name, Value> values_;
    std::set<Name> known_;
    std::vector<SettingFault> faults_;
};

/// The parts of a list that is separated by commas or spaces; none of `-`, which stands for an empty list.
std::vector<std::string> splitList(const std::string& text);

/// The address that another instance uses for what this one serves at `ownAddress`: ports are the same everywhere.
std::string onHostOf(const std::string& otherAddress, const std::string& ownAddress);

/// True if `text` is `IP:port` with a numeric IPv4 address or a bracketed IPv6 address.
bool isSocketAddress(std::string_view text);

} // namespace Lagoonpick
