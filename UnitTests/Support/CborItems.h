#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Takes frames apart into their CBOR items and puts them together, so that tests can make frames that no encoder does.
namespace Lagoonpick {

// The items of a frame with one message: the list's head, the message's kind, the fields. A list's elements follow its head.
inline constexpr std::size_t firstField = 2;

/// Bytes of a CBOR item: a kind (0 unsigned, 2 bytes, 4 list) and its argument.
inline std::string makeItem(unsigned kind, std::uint64_t argument)
{
    constexpr unsigned argumentOf8Bytes = 27;
    std::string item(1, static_cast<char>(kind << 5U | argumentOf8Bytes));
    for (int shift = 56; shift >= 0; shift -= 8)
        item += static_cast<char>(argument >> static_cast<unsigned>(shift) & 0xffU);
    return item;
}

inline std::string makeNumber(std::uint64_t number)
{
    return makeItem(0, number);
}

inline std::string makeText(const std::string& text)
{
    return makeItem(2, text.size()) + text;
}

inline std::size_t argumentBytes(unsigned char head)
{
    constexpr unsigned mask = 0x1f;
    constexpr unsigned firstLong = 24;
    unsigned info = head & mask;
    return info < firstLong ? 0 : std::size_t { 1 } << (info - firstLong);
}

/// The size of the item that `rest` begins with, without the elements of a list.
inline std::size_t itemBytes(std::string_view rest)
{
    auto head = static_cast<unsigned char>(rest.front());
    std::size_t extra = argumentBytes(head);
    std::uint64_t argument = head & 0x1fU;
    if (extra)
        argument = 0;
    for (std::size_t i = 1; i <= extra; ++i)
        argument = argument << 8U | static_cast<unsigned char>(rest[i]);
    bool isBytes = head >> 5U == 2;
    return 1 + extra + (isBytes ? argument : 0);
}

inline std::vector<std::string> splitItems(std::string_view frame)
{
    std::vector<std::string> items;
    for (; !frame.empty(); frame.remove_prefix(items.back().size()))
        items.emplace_back(frame.substr(0, itemBytes(frame)));
    return items;
}

inline std::string join(const std::vector<std::string>& items)
{
    std::string frame;
    for (const auto& item : items)
        frame += item;
    return frame;
}

inline unsigned kindOf(const std::string& item)
{
    return static_cast<unsigned char>(item.front()) >> 5U;
}

/// The frames that a frame of one message becomes when one of its fields is left out, doubled, replaced by one of another type, or
/// nested deeply. None is a frame that an encoder could have written.
inline std::vector<std::string> damageFields(const std::string& frame)
{
    // A number, bytes, a list, true, a negative number, text, a map, null, a half-precision number, an indefinite list, a tag.
    const std::vector<std::string> others { "\x01", "\x41\x61", "\x80", "\xf5", "\x20", "\x61\x61", "\xa0", "\xf6", std::string("\xf9\x00\x00", 3), "\x9f\xff", "\xc1\x01" };
    const auto items = splitItems(frame);
    std::vector<std::string> damaged;
    for (std::size_t field = firstField; field < items.size(); ++field) {
        auto changed = items;
        auto add = [&](const std::string& item) {
            changed[field] = item;
            damaged.push_back(join(changed));
        };
        add({});
        add(items[field] + items[field]);
        add(std::string(10'000, '\x81'));
        for (const auto& other : others) {
            if (kindOf(other) != kindOf(items[field]))
                add(other);
        }
    }
    return damaged;
}

} // namespace Lagoonpick
