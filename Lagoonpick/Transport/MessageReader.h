#pragma once

#include "Lagoonpick/Transport/PeerFault.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonpick {

/// What a peer may have a process hold for one HTTP message.
struct MessageLimits {
    /// Size of the start line and the header fields; also of what lies between two bytes of a body (chunk sizes and extensions) and
    /// of the trailers, and of all interim responses together.
    std::size_t maxHeaderBytes_ { 16'384 };
    std::size_t maxHeaderFields_ { 100 };
    std::uint64_t maxBodyBytes_ { 8'388'608 };
};

/// Bytes that a string holds beside its own object.
inline std::size_t allocatedBytes(const std::string& text)
{
    static const std::size_t inPlace = std::string().capacity();
    return text.capacity() > inPlace ? text.capacity() : 0;
}

/// Reads one HTTP/1.1 message from pieces of any size. Uses no sockets.
///
/// Holds the header and the body only: chunk sizes, extensions and trailers are checked and dropped as they arrive. A message whose
/// end could be read in two ways is malformed: two or more lengths, a length and chunks, a transfer encoding other than `chunked`,
/// folded header lines, line ends without a carriage return.
///
/// Not thread-safe.
template <bool isRequest>
class MessageReader {
public:
    using Message = boost::beast::http::message<isRequest, boost::beast::http::empty_body>;

    explicit MessageReader(MessageLimits limits);

    /// Reads a piece, and returns how many of its bytes belong to the message: all of them unless the message ends within the piece or
    /// is faulty.
    std::size_t put(std::string_view piece);

    /// The connection has ended: completes a response whose body ends with its connection.
    void putEnd();

    bool hasBegun() const { return hasBegun_; }
    bool isHeadComplete() const { return message_.has_value(); }
    bool isComplete() const { return state_ == State::Complete; }
    PeerFault fault() const { return fault_; }

    /// Bytes that are held for the message.
    std::size_t heldBytes() const;

    /// Start line and header fields; only if `isHeadComplete`.
    const Message& message() const { return *message_; }
    /// Returns what has arrived of the body since the last call.
    std::string takeBody();
    /// Whether the connection can be used for another message after this one.
    bool isConnectionKept() const;

private:
    enum class State : std::uint8_t {
        Head,
        SizedBody,
        BodyUntilEnd,
        ChunkSize,
        ChunkExtension,
        ChunkSizeLineFeed,
        ChunkData,
        ChunkDataReturn,
        ChunkDataLineFeed,
        TrailerStart,
        TrailerName,
        TrailerValue,
        TrailerLineFeed,
        LastLineFeed,
        Complete,
        Faulty,
    };

    std::size_t putHead(std::string_view piece);
    std::size_t putBody(std::string_view piece);
    void putFramingByte(char byte);
    void putChunkSizeByte(char byte);
    void putTrailerByte(char byte);
    void checkStartLine(std::string_view piece);
    void readHead();
    void beginBody();
    void beginChunk();
    void expect(char byte, char expected, State next);
    void fail(PeerFault fault);

    MessageLimits limits_;
    State state_ { State::Head };
    PeerFault fault_ { PeerFault::None };
    bool hasBegun_ { false };
    bool isStartLineChecked_ { false };
    bool endsWithConnection_ { false };
    std::string head_;
    std::optional<Message> message_;
    std::size_t headBytes_ { 0 };
    std::size_t interimBytes_ { 0 };
    std::string body_;
    std::uint64_t bodyBytes_ { 0 };
    /// What is left of the body or of the present chunk.
    std::uint64_t leftBytes_ { 0 };
    int chunkSizeDigits_ { 0 };
    /// Bytes of chunk lines or trailers since the last byte of the body.
    std::size_t framingBytes_ { 0 };
};

extern template class MessageReader<true>;
extern template class MessageReader<false>;

using RequestReader = MessageReader<true>;
using ResponseReader = MessageReader<false>;

} // namespace Lagoonpick
