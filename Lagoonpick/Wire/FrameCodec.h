#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Core/SubmissionId.h"

#include <array>
#include <cbor.h>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/// Shared implementation of the frame codecs: encodes and decodes lists of messages of one variant type as CBOR (RFC 8949).
/// An overload of `describe` lists the fields of each message; a specialization of `lastEnumerator` names the last enumerator of
/// each enumeration.
namespace Lagoonpick::Wire {

/// The largest enumerator that a frame may hold. Each codec specializes this for its enumerations.
template <typename Enum>
constexpr Enum lastEnumerator();

/// Largest size of a CBOR head in bytes: the initial byte and a 64-bit argument.
constexpr std::size_t maxHeadBytes = 9;

/// Appends CBOR items to a frame.
class Encoder {
public:
    explicit Encoder(std::string& frame)
        : frame_(frame)
    {
    }

    template <typename... Fields>
    void operator()(const Fields&... fields)
    {
        (write(fields), ...);
    }

    void beginArray(std::size_t length)
    {
        appendHead(cbor_encode_array_start, length);
    }

    void write(std::uint64_t value) { appendHead(cbor_encode_uint, value); }
    void write(std::uint32_t value) { appendHead(cbor_encode_uint, value); }
    /// Zigzag encoding: the sign is stored in the lowest bit, which keeps small numbers of either sign short.
    void write(std::int64_t value)
    {
        write(static_cast<std::uint64_t>(value) << 1 ^ static_cast<std::uint64_t>(value >> (std::numeric_limits<std::int64_t>::digits)));
    }

    void write(bool value) { appendHead(cbor_encode_bool, value); }
    void write(Incarnation value) { write(value.value()); }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void write(Enum value)
    {
        write(static_cast<std::uint32_t>(value));
    }

    void write(const SubmissionId& value)
    {
        write(value.high());
        write(value.low());
    }

    void write(const std::string& value)
    {
        appendHead(cbor_encode_bytestring_start, value.size());
        frame_.append(value);
    }

    template <typename Item>
    void write(const std::vector<Item>& items)
    {
        beginArray(items.size());
        for (const auto& item : items)
            write(item);
    }

    template <typename Value>
    requires requires(Encoder& archive, const Value& value) { describe(archive, value); }
    void write(const Value& value)
    {
        describe(*this, value);
    }

private:
    template <typename Function, typename Value>
    void appendHead(Function encodeHead, Value value)
    {
        std::array<unsigned char, maxHeadBytes> head {};
        std::size_t size = encodeHead(value, head.data(), head.size());
        frame_.append(reinterpret_cast<const char*>(head.data()), size);
    }

    std::string& frame_;
};

/// One CBOR item as reported by libcbor's streaming decoder.
struct Item {
    enum class Kind {
        None,
        Unsigned,
        Bytes,
        Array,
        Boolean,
    };
    Kind kind_ { Kind::None };
    std::uint64_t value_ { 0 };
    std::string_view bytes_;
};

inline void setItem(void* context, Item::Kind kind, std::uint64_t value)
{
    auto& item = *static_cast<Item*>(context);
    item.kind_ = kind;
    item.value_ = value;
}

inline cbor_callbacks makeCallbacks()
{
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = [](void* item, std::uint8_t value) { setItem(item, Item::Kind::Unsigned, value); };
    callbacks.uint16 = [](void* item, std::uint16_t value) { setItem(item, Item::Kind::Unsigned, value); };
    callbacks.uint32 = [](void* item, std::uint32_t value) { setItem(item, Item::Kind::Unsigned, value); };
    callbacks.uint64 = [](void* item, std::uint64_t value) { setItem(item, Item::Kind::Unsigned, value); };
    callbacks.boolean = [](void* item, bool value) { setItem(item, Item::Kind::Boolean, value); };
    callbacks.array_start = [](void* item, std::size_t length) { setItem(item, Item::Kind::Array, length); };
    callbacks.byte_string = [](void* item, cbor_data data, std::size_t length) {
        setItem(item, Item::Kind::Bytes, length);
        static_cast<Item*>(item)->bytes_ = { reinterpret_cast<const char*>(data), length };
    };
    return callbacks;
}

/// Reads the CBOR items of a frame in order. After the first error `hasFailed` returns true and every read yields a default value.
class Decoder {
public:
    explicit Decoder(std::string_view frame)
        : rest_(frame)
    {
    }

    bool hasFailed() const { return hasFailed_; }
    bool isAtEnd() const { return rest_.empty(); }

    template <typename... Fields>
    void operator()(Fields&... fields)
    {
        (read(fields), ...);
    }

    /// Reads an array head and returns the array's length. A length above the number of remaining bytes is an error, because
    /// each item takes at least one byte.
    std::size_t beginArray()
    {
        auto length = readItem(Item::Kind::Array).value_;
        if (length > rest_.size())
            hasFailed_ = true;
        return hasFailed_ ? 0 : length;
    }

    void read(std::uint64_t& value) { value = readItem(Item::Kind::Unsigned).value_; }
    void read(std::uint32_t& value) { value = static_cast<std::uint32_t>(readUpTo(std::numeric_limits<std::uint32_t>::max())); }
    void read(std::int64_t& value)
    {
        std::uint64_t zigzag = 0;
        read(zigzag);
        value = static_cast<std::int64_t>(zigzag >> 1 ^ -(zigzag & 1));
    }

    void read(bool& value) { value = readItem(Item::Kind::Boolean).value_; }
    void read(Incarnation& value) { value = Incarnation(readUpTo(Incarnation::mask)); }

    template <typename Enum>
    requires std::is_enum_v<Enum>
    void read(Enum& value)
    {
        value = static_cast<Enum>(readUpTo(static_cast<std::uint64_t>(lastEnumerator<Enum>())));
    }

    void read(SubmissionId& value)
    {
        auto high = readItem(Item::Kind::Unsigned).value_;
        auto low = readItem(Item::Kind::Unsigned).value_;
        value = SubmissionId::fromHalves(high, low);
    }

    void read(std::string& value) { value = readItem(Item::Kind::Bytes).bytes_; }

    template <typename Element>
    void read(std::vector<Element>& items)
    {
        std::size_t length = beginArray();
        for (std::size_t i = 0; i < length && !hasFailed_; ++i)
            read(items.emplace_back());
    }

    template <typename Value>
    requires requires(Decoder& archive, Value& value) { describe(archive, value); }
    void read(Value& value)
    {
        describe(*this, value);
    }

private:
    std::uint64_t readUpTo(std::uint64_t limit)
    {
        auto value = readItem(Item::Kind::Unsigned).value_;
        if (value > limit)
            hasFailed_ = true;
        return hasFailed_ ? 0 : value;
    }

    Item readItem(Item::Kind expected)
    {
        static const cbor_callbacks callbacks = makeCallbacks();
        Item item;
        if (hasFailed_)
            return item;
        auto result = cbor_stream_decode(
            reinterpret_cast<cbor_data>(rest_.data()), rest_.size(), &callbacks, &item);
        if (result.status != CBOR_DECODER_FINISHED || item.kind_ != expected) {
            hasFailed_ = true;
            return {};
        }
        rest_.remove_prefix(result.read);
        return item;
    }

    std::string_view rest_;
    bool hasFailed_ { false };
};

template <typename Message, std::size_t... Kinds>
bool readAlternative(Decoder& decoder, std::uint32_t kind, Message& message, std::index_sequence<Kinds...>)
{
    auto readIf = [&]<std::size_t Kind>() {
        if (kind == Kind)
            decoder.read(message.template emplace<Kind>());
        return kind == Kind;
    };
    return (readIf.template operator()<Kinds>() || ...);
}

/// Encodes `messages` as one frame: an array head with the number of messages, then the kind and the fields of each message.
template <typename Message>
std::string encodeFrame(std::span<const Message> messages)
{
    std::string frame;
    Encoder encoder(frame);
    encoder.beginArray(messages.size());
    for (const auto& message : messages) {
        encoder.write(static_cast<std::uint32_t>(message.index()));
        std::visit([&](const auto& alternative) { encoder.write(alternative); }, message);
    }
    return frame;
}

/// Decodes a frame. Fails with `Malformed` if `encodeFrame` can't have written it.
template <typename Message>
Outcome<std::vector<Message>> decodeFrame(std::string_view frame)
{
    constexpr auto kinds = std::make_index_sequence<std::variant_size_v<Message>>();
    Decoder decoder(frame);
    std::size_t length = decoder.beginArray();
    std::vector<Message> messages;
    for (std::size_t i = 0; i < length && !decoder.hasFailed(); ++i) {
        std::uint32_t kind = 0;
        decoder.read(kind);
        if (!readAlternative(decoder, kind, messages.emplace_back(), kinds))
            return fail(ErrorCode::Malformed, "unknown message kind");
    }
    if (decoder.hasFailed() || !decoder.isAtEnd())
        return fail(ErrorCode::Malformed, "frame is not a list of messages");
    return messages;
}

} // namespace Lagoonpick::Wire
