#pragma once

#include "Lagoonpick/Core/Error.h"
#include "Lagoonpick/Core/Incarnation.h"
#include "Lagoonpick/Core/SubmissionId.h"
#include "Lagoonpick/Wire/FieldRules.h"

#include <array>
#include <cbor.h>
#include <fmt/format.h>
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
/// Limit on the messages of a frame. A message takes about a hundred times as many bytes in memory as the shortest one does in a
/// frame.
constexpr std::size_t maxFrameMessages = 16'384;

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

    /// Writes the value within its limits, if its rule has any to which values are reduced.
    template <typename Value, typename Rule>
    void write(const Field<Value, Rule>& field)
    {
        if constexpr (requires { field.rule_.reduce(field.value_); })
            write(field.rule_.reduce(field.value_));
        else
            write(field.value_);
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

/// Reads the CBOR items of a frame in order. After the first error `hasFailed` returns true and every read yields a default value or
/// one that must not be used.
class Decoder {
public:
    explicit Decoder(std::string_view frame)
        : rest_(frame)
    {
    }

    bool hasFailed() const { return hasFailed_; }
    bool isAtEnd() const { return rest_.empty(); }
    /// The first error: the field, as far as it has a name, and what is wrong with it.
    std::string fault() const { return fmt::format("{}{}", field_.empty() ? "a field" : fmt::format("the field '{}'", field_), fault_); }

    template <typename... Fields>
    void operator()(Fields&&... fields)
    {
        (read(fields), ...);
    }

    /// Reads an array head and returns the array's length. A length above the number of remaining bytes is an error, because
    /// each item takes at least one byte.
    std::size_t beginArray()
    {
        auto length = readItem(Item::Kind::Array).value_;
        if (length > rest_.size())
            fail(" has a length beyond the frame");
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
    void read(std::vector<Element>& items, std::size_t maxLength = std::numeric_limits<std::size_t>::max())
    {
        std::size_t length = beginArray();
        if (length > maxLength)
            fail(" has too many elements");
        for (std::size_t i = 0; i < length && !hasFailed_; ++i)
            read(items.emplace_back());
    }

    template <typename Value, typename Rule>
    void read(const Field<Value, Rule>& field)
    {
        if (hasFailed_)
            return;
        if constexpr (requires { field.rule_.maxCount_; })
            read(field.value_, field.rule_.maxCount_);
        else
            read(field.value_);
        if (auto fault = hasFailed_ ? std::string_view() : field.rule_.findFault(field.value_); !fault.empty())
            fail(fault);
        if (hasFailed_)
            field_ = field.name_;
    }

    template <typename Value>
    requires requires(Decoder& archive, Value& value) { describe(archive, value); }
    void read(Value& value)
    {
        describe(*this, value);
    }

private:
    void fail(std::string_view fault)
    {
        if (!hasFailed_)
            fault_ = fault;
        hasFailed_ = true;
    }

    std::uint64_t readUpTo(std::uint64_t limit)
    {
        auto value = readItem(Item::Kind::Unsigned).value_;
        if (value > limit)
            fail(" is above its limit");
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
            fail(result.status == CBOR_DECODER_NEDATA ? " is missing or cut off" : " is of another type");
            return {};
        }
        rest_.remove_prefix(result.read);
        return item;
    }

    std::string_view rest_;
    bool hasFailed_ { false };
    std::string_view field_;
    std::string_view fault_;
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

/// Decodes a frame. Fails with `Malformed` if `encodeFrame` can't have written it; the error names the message and what is wrong.
template <typename Message>
Outcome<std::vector<Message>> decodeFrame(std::string_view frame, std::string_view (*nameOfKind)(std::size_t))
{
    constexpr auto kinds = std::make_index_sequence<std::variant_size_v<Message>>();
    Decoder decoder(frame);
    std::size_t length = decoder.beginArray();
    if (decoder.hasFailed() || length > maxFrameMessages)
        return fail(ErrorCode::Malformed, length ? "the frame has too many messages" : "the frame is not a list of messages");
    std::vector<Message> messages;
    for (std::size_t i = 0; i < length; ++i) {
        std::uint32_t kind = 0;
        decoder.read(kind);
        if (!readAlternative(decoder, kind, messages.emplace_back(), kinds))
            return fail(ErrorCode::Malformed, fmt::format("message {} is of the unknown kind {}", i, kind));
        if (decoder.hasFailed())
            return fail(ErrorCode::Malformed, fmt::format("message {} ({}): {}", i, nameOfKind(kind), decoder.fault()));
    }
    if (!decoder.isAtEnd())
        return fail(ErrorCode::Malformed, "the frame goes on after its last message");
    return messages;
}

} // namespace Lagoonpick::Wire
