#include "Lagoonpick/Configuration/SettingsReader.h"

#include "Lagoonpick/Core/SocketAddress.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <sstream>

namespace Lagoonpick {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::string trim(std::string_view text)
{
    return boost::algorithm::trim_copy(std::string(text));
}

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

std::string SettingFault::toString() const
{
    std::string location = line_ ? fmt::format("{}:{}", file_, line_) : file_;
    std::string found = found_.empty() ? "nothing" : fmt::format("'{}'", found_);
    return fmt::format("{}: [{}] {}: found {}; {}", location, section_, key_, found, remedy_);
}

SettingsReader::SettingsReader(std::string file, std::string_view text)
    : file_(std::move(file))
{
    parse(text);
}

void SettingsReader::parse(std::string_view text)
{
    std::istringstream lines { std::string(text) };
    std::string section;
    std::uint32_t number = 0;
    for (std::string raw; std::getline(lines, raw);) {
        ++number;
        std::string line = trim(raw);
        if (line.empty() || line.front() == '#' || line.front() == ';')
            continue;
        if (line.front() == '[' && line.back() == ']') {
            section = trim(std::string_view(line).substr(1, line.size() - 2));
            continue;
        }
        auto equals = line.find('=');
        if (equals == std::string::npos) {
            faults_.push_back({ file_, number, section, "", line, "write 'key = value' or '[section]'" });
            continue;
        }
        std::string key = trim(std::string_view(line).substr(0, equals));
        Value value { trim(std::string_view(line).substr(equals + 1)), number };
        if (!values_.emplace(Name { section, key }, value).second)
            addFaultOfValue(section, key, &value, "give each key once");
    }
}

const SettingsReader::Value* SettingsReader::find(std::string_view section, std::string_view key)
{
    Name name { section, key };
    readKeys_.insert(name);
    auto found = values_.find(name);
    return found == values_.end() ? nullptr : &found->second;
}

void SettingsReader::addFaultOfValue(std::string_view section, std::string_view key, const Value* value, std::string remedy)
{
    faults_.push_back({ file_, value ? value->line_ : 0, std::string(section), std::string(key),
        value ? value->text_ : std::string(), std::move(remedy) });
}

std::string SettingsReader::text(std::string_view section, std::string_view key, std::string_view defaultValue)
{
    const Value* value = find(section, key);
    if (value && !value->text_.empty())
        return value->text_;
    if (value || defaultValue.empty())
        addFaultOfValue(section, key, value, "give a non-empty text");
    return std::string(defaultValue);
}

std::uint64_t SettingsReader::number(
    std::string_view section, std::string_view key, std::uint64_t defaultValue, std::uint64_t minValue, std::uint64_t maxValue)
{
    const Value* value = find(section, key);
    if (!value)
        return defaultValue;
    auto parsed = parseNumber(value->text_);
    if (parsed && *parsed >= minValue && *parsed <= maxValue)
        return *parsed;
    addFaultOfValue(section, key, value, fmt::format("give a whole number from {} to {}", minValue, maxValue));
    return defaultValue;
}

Duration SettingsReader::milliseconds(
    std::string_view section, std::string_view key, Duration defaultValue, Duration minValue, Duration maxValue)
{
    auto read = number(section, key, toMilliseconds(defaultValue), toMilliseconds(minValue), toMilliseconds(maxValue));
    return std::chrono::milliseconds(read);
}

double SettingsReader::decimal(std::string_view section, std::string_view key, double defaultValue, double minValue, double maxValue)
{
    const Value* value = find(section, key);
    if (!value)
        return defaultValue;
    const std::string& text = value->text_;
    double parsed = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), parsed);
    bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (isWhole && parsed >= minValue && parsed <= maxValue)
        return parsed;
    addFaultOfValue(section, key, value, fmt::format("give a number from {} to {}", minValue, maxValue));
    return defaultValue;
}

std::string SettingsReader::address(std::string_view section, std::string_view key, std::string_view defaultValue)
{
    const Value* value = find(section, key);
    if (!value && !defaultValue.empty())
        return std::string(defaultValue);
    if (value && isSocketAddress(value->text_))
        return value->text_;
    addFaultOfValue(section, key, value, "give IP:port with a numeric address, such as 127.0.0.1:7000");
    return {};
}

void SettingsReader::addFault(std::string_view section, std::string_view key, std::string found, std::string remedy)
{
    const Value* value = find(section, key);
    faults_.push_back({ file_, value ? value->line_ : 0, std::string(section), std::string(key), std::move(found), std::move(remedy) });
}

std::vector<SettingFault> SettingsReader::finish()
{
    for (const auto& [name, value] : values_) {
        if (!readKeys_.contains(name))
            addFaultOfValue(name.first, name.second, &value, "this key is not known; remove it or correct its name");
    }
    return std::move(faults_);
}

std::vector<std::string> splitList(const std::string& text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of(", "), boost::algorithm::token_compress_on);
    std::erase_if(parts, [](const std::string& part) { return part.empty() || part == "-"; });
    return parts;
}

std::string addressOnHostOf(const std::string& otherAddress, const std::string& ownAddress)
{
    return otherAddress.substr(0, otherAddress.rfind(':')) + ownAddress.substr(ownAddress.rfind(':'));
}

} // namespace Lagoonpick
