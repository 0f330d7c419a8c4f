#pragma once

#include "Lagoonpick/Core/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonpick {

/// A fault in a settings file: its place, what was found there and how to correct it.
struct SettingFault {
    std::string file_;
    /// Counted from 1; 0 if the fault belongs to no line, such as a missing key.
    std::uint32_t line_ { 0 };
    std::string section_;
    std::string key_;
    std::string found_;
    std::string remedy_;
    bool operator==(const SettingFault&) const = default;

    /// The fault as one line of text.
    std::string toString() const;
};

/// Reads settings from INI text and collects all faults, so that they are reported together.
///
/// Call a reading function for every setting that exists, then `finish`, which reports all other keys as unknown. A
/// faulty setting reads as its default, a faulty address as empty. Not thread-safe.
class SettingsReader {
public:
    /// `file` is the file name for fault reports.
    SettingsReader(std::string file, std::string_view text);

    /// Reads a non-empty text; a missing key is a fault unless there is a default.
    std::string text(std::string_view section, std::string_view key, std::string_view defaultValue = {});

    /// Reads a whole number from `minValue` to `maxValue`.
    std::uint64_t number(std::string_view section, std::string_view key, std::uint64_t defaultValue, std::uint64_t minValue, std::uint64_t maxValue);

    /// Reads a duration in whole milliseconds, from `minValue` to `maxValue`.
    Duration milliseconds(std::string_view section, std::string_view key, Duration defaultValue, Duration minValue, Duration maxValue);

    /// Reads a decimal number from `minValue` to `maxValue`.
    double decimal(std::string_view section, std::string_view key, double defaultValue, double minValue, double maxValue);

    /// Reads an address as `IP:port` with a numeric IP address; a missing key is a fault unless there is a default.
    std::string address(std::string_view section, std::string_view key, std::string_view defaultValue = {});

    /// Adds a fault that the reading functions can't detect, such as two settings that contradict each other.
    void addFault(std::string_view section, std::string_view key, std::string found, std::string remedy);

    /// Returns all faults, with one for each key that was not read.
    std::vector<SettingFault> finish();

private:
    struct Value {
        std::string text_;
        std::uint32_t line_ { 0 };
    };
    using Name = std::pair<std::string, std::string>;

    void parse(std::string_view text);
    const Value* find(std::string_view section, std::string_view key);
    void addFaultOfValue(std::string_view section, std::string_view key, const Value* value, std::string remedy);

    std::string file_;
    std::map<Name, Value> values_;
    std::set<Name> readKeys_;
    std::vector<SettingFault> faults_;
};

/// The items of a list that is separated by commas or spaces. Items `-` are dropped: `-` alone is an empty list.
std::vector<std::string> splitList(const std::string& text);

/// The host of `otherAddress` with the port of `ownAddress`: the address at which another instance serves what this one
/// serves at `ownAddress`, since all instances use the same ports.
std::string addressOnHostOf(const std::string& otherAddress, const std::string& ownAddress);

} // namespace Lagoonpick
