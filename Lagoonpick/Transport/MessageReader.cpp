#include "Lagoonpick/Transport/MessageReader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <charconv>
#include <limits>

namespace Lagoonpick {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view headEnd = "\r\n\r\n";
/// What a header field takes beyond its text: its entry in the list and the index of fields.
constexpr std::size_t fieldBytes = 96;
/// The start line and the empty line at a header's end.
constexpr std::size_t linesWithoutField = 2;
constexpr int hexBase = 16;
/// More digits, also leading zeros, are no chunk size; fewer fit into 64 bits.
constexpr int maxChunkSizeDigits = 15;
constexpr unsigned statusSwitchingProtocols = 101;
constexpr unsigned statusNoContent = 204;
constexpr unsigned statusNotModified = 304;
constexpr unsigned statusOk = 200;
constexpr int http11 = 11;

bool isControl(char character)
{
    constexpr unsigned char space = 0x20;
    constexpr unsigned char del = 0x7f;
    auto byte = static_cast<unsigned char>(character);
    return (byte < space && character != '\t') || byte == del;
}

/// Whether a field's name may contain the character.
bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    bool isDigit = character >= '0' && character <= '9';
    bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isDigit || isLetter || marks.find(character) != std::string_view::npos;
}

std::optional<std::uint64_t> readNumber(std::string_view text, int base)
{
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

template <bool isRequest>
MessageReader<isRequest>::MessageReader(MessageLimits limits)
    : limits_(limits)
{
}

template <bool isRequest>
void MessageReader<isRequest>::fail(PeerFault fault)
{
    state_ = State::Faulty;
    fault_ = fault;
}

template <bool isRequest>
std::size_t MessageReader<isRequest>::put(std::string_view piece)
{
    std::size_t used = 0;
    while (used < piece.size() && state_ != State::Complete && state_ != State::Faulty) {
        hasBegun_ = true;
        std::string_view rest = piece.substr(used);
        if (state_ == State::Head) {
            used += putHead(rest);
        } else if (state_ == State::SizedBody || state_ == State::BodyUntilEnd || state_ == State::ChunkData) {
            used += putBody(rest);
        } else {
            putFramingByte(rest.front());
            ++used;
        }
    }
    return used;
}

template <bool isRequest>
void MessageReader<isRequest>::putEnd()
{
    if (state_ == State::BodyUntilEnd)
        state_ = State::Complete;
    else if (state_ != State::Complete)
        fail(PeerFault::Malformed);
}

template <bool isRequest>
std::size_t MessageReader<isRequest>::heldBytes() const
{
    std::size_t fields = message_ ? headBytes_ : 0;
    return allocatedBytes(head_) + fields + allocatedBytes(body_);
}

template <bool isRequest>
std::string MessageReader<isRequest>::takeBody()
{
    return std::exchange(body_, {});
}

template <bool isRequest>
bool MessageReader<isRequest>::isConnectionKept() const
{
    return message_ && !endsWithConnection_ && message_->keep_alive();
}

/// Bytes that can't begin a message are refused before the header ends: a peer that speaks another protocol may never send its end.
template <bool isRequest>
void MessageReader<isRequest>::checkStartLine(std::string_view piece)
{
    auto end = piece.find('\r');
    isStartLineChecked_ = end != std::string_view::npos;
    auto line = piece.substr(0, end);
    bool isMethod = isRequest && head_.find(' ') == std::string::npos;
    for (char character : line) {
        isMethod = isMethod && character != ' ';
        if (isControl(character) || character == '\t' || (isMethod && !isTokenCharacter(character)))
            fail(PeerFault::Malformed);
    }
}

template <bool isRequest>
std::size_t MessageReader<isRequest>::putHead(std::string_view piece)
{
    std::size_t oldSize = head_.size();
    auto taken = piece.substr(0, limits_.maxHeaderBytes_ - oldSize);
    if (!isStartLineChecked_)
        checkStartLine(taken);
    if (state_ == State::Faulty)
        return 0;
    head_ += taken;
    auto end = head_.find(headEnd, oldSize < headEnd.size() ? 0 : oldSize - (headEnd.size() - 1));
    if (end == std::string::npos) {
        if (head_.size() >= limits_.maxHeaderBytes_)
            fail(PeerFault::HeaderTooLarge);
        return taken.size();
    }
    head_.resize(end + headEnd.size());
    std::size_t used = head_.size() - oldSize;
    readHead();
    return used;
}

template <bool isRequest>
void MessageReader<isRequest>::readHead()
{
    // Before the parser makes an entry for each field: a short field takes many times its text.
    auto fields = static_cast<std::size_t>(std::count(head_.begin(), head_.end(), '\n')) - linesWithoutField;
    if (fields > limits_.maxHeaderFields_) {
        fail(PeerFault::HeaderTooLarge);
        return;
    }
    bool isFolded = head_.find("\r\n ") != std::string::npos || head_.find("\r\n\t") != std::string::npos;
    http::parser<isRequest, http::empty_body> parser;
    parser.header_limit(std::numeric_limits<std::uint32_t>::max());
    parser.body_limit(boost::none);
    beast::error_code error;
    auto used = parser.put(boost::asio::buffer(head_), error);
    if (isFolded || error || !parser.is_header_done() || used != head_.size()) {
        fail(PeerFault::Malformed);
        return;
    }
    message_ = parser.release();
    headBytes_ = head_.size() + fields * fieldBytes;
    beginBody();
    // Not `clear`, which keeps the memory.
    std::string().swap(head_);
}

template <bool isRequest>
void MessageReader<isRequest>::beginBody()
{
    auto lengths = message_->count(http::field::content_length);
    auto encodings = message_->count(http::field::transfer_encoding);
    auto length = lengths ? readNumber((*message_)[http::field::content_length], 10) : std::uint64_t { 0 };
    bool isChunked = encodings && message_->version() == http11 && beast::iequals((*message_)[http::field::transfer_encoding], "chunked");
    if (lengths + encodings > 1 || (lengths && !length) || (encodings && !isChunked)) {
        fail(PeerFault::Malformed);
        return;
    }
    if constexpr (!isRequest) {
        unsigned status = message_->result_int();
        if (status < statusOk) {
            interimBytes_ += head_.size();
            message_.reset();
            isStartLineChecked_ = false;
            if (status == statusSwitchingProtocols)
                fail(PeerFault::Malformed);
            else if (interimBytes_ > limits_.maxHeaderBytes_)
                fail(PeerFault::HeaderTooLarge);
            return;
        }
        if (status == statusNoContent || status == statusNotModified) {
            state_ = State::Complete;
            return;
        }
        if (!lengths && !encodings) {
            leftBytes_ = std::numeric_limits<std::uint64_t>::max();
            endsWithConnection_ = true;
            state_ = State::BodyUntilEnd;
            return;
        }
    }
    if (isChunked) {
        beginChunk();
        return;
    }
    leftBytes_ = *length;
    if (leftBytes_ > limits_.maxBodyBytes_)
        fail(PeerFault::BodyTooLarge);
    else
        state_ = leftBytes_ ? State::SizedBody : State::Complete;
}

template <bool isRequest>
void MessageReader<isRequest>::beginChunk()
{
    leftBytes_ = 0;
    chunkSizeDigits_ = 0;
    state_ = State::ChunkSize;
}

template <bool isRequest>
std::size_t MessageReader<isRequest>::putBody(std::string_view piece)
{
    auto count = static_cast<std::size_t>(std::min<std::uint64_t>(piece.size(), leftBytes_));
    if (bodyBytes_ + count > limits_.maxBodyBytes_) {
        fail(PeerFault::BodyTooLarge);
        return 0;
    }
    body_ += piece.substr(0, count);
    bodyBytes_ += count;
    framingBytes_ = 0;
    if (state_ == State::BodyUntilEnd)
        return count;
    leftBytes_ -= count;
    if (!leftBytes_)
        state_ = state_ == State::SizedBody ? State::Complete : State::ChunkDataReturn;
    return count;
}

template <bool isRequest>
void MessageReader<isRequest>::expect(char byte, char expected, State next)
{
    if (byte == expected)
        state_ = next;
    else
        fail(PeerFault::Malformed);
}

template <bool isRequest>
void MessageReader<isRequest>::putFramingByte(char byte)
{
    bool isTrailer = state_ >= State::TrailerStart;
    if (++framingBytes_ > limits_.maxHeaderBytes_) {
        fail(isTrailer ? PeerFault::TrailerTooLarge : PeerFault::ChunkLineTooLarge);
        return;
    }
    switch (state_) {
    case State::ChunkSize:
        putChunkSizeByte(byte);
        break;
    case State::ChunkExtension:
        if (byte == '\r')
            state_ = State::ChunkSizeLineFeed;
        else if (isControl(byte))
            fail(PeerFault::Malformed);
        break;
    case State::ChunkSizeLineFeed:
        expect(byte, '\n', leftBytes_ ? State::ChunkData : State::TrailerStart);
        break;
    case State::ChunkDataReturn:
        expect(byte, '\r', State::ChunkDataLineFeed);
        break;
    case State::ChunkDataLineFeed:
        expect(byte, '\n', State::ChunkSize);
        if (state_ == State::ChunkSize)
            beginChunk();
        break;
    default:
        putTrailerByte(byte);
    }
}

template <bool isRequest>
void MessageReader<isRequest>::putChunkSizeByte(char byte)
{
    auto digit = readNumber({ &byte, 1 }, hexBase);
    if (digit && chunkSizeDigits_ < maxChunkSizeDigits) {
        ++chunkSizeDigits_;
        leftBytes_ = leftBytes_ * hexBase + *digit;
    } else if (!chunkSizeDigits_ || (byte != ';' && byte != '\r')) {
        fail(PeerFault::Malformed);
    } else if (leftBytes_ > limits_.maxBodyBytes_ - bodyBytes_) {
        fail(PeerFault::BodyTooLarge);
    } else {
        state_ = byte == ';' ? State::ChunkExtension : State::ChunkSizeLineFeed;
    }
}

template <bool isRequest>
void MessageReader<isRequest>::putTrailerByte(char byte)
{
    switch (state_) {
    case State::TrailerStart:
        if (byte == '\r')
            state_ = State::LastLineFeed;
        else if (isTokenCharacter(byte))
            state_ = State::TrailerName;
        else
            fail(PeerFault::Malformed);
        break;
    case State::TrailerName:
        if (byte == ':')
            state_ = State::TrailerValue;
        else if (!isTokenCharacter(byte))
            fail(PeerFault::Malformed);
        break;
    case State::TrailerValue:
        if (byte == '\r')
            state_ = State::TrailerLineFeed;
        else if (isControl(byte))
            fail(PeerFault::Malformed);
        break;
    case State::TrailerLineFeed:
        expect(byte, '\n', State::TrailerStart);
        break;
    default:
        expect(byte, '\n', State::Complete);
    }
}

template class MessageReader<true>;
template class MessageReader<false>;

} // namespace Lagoonpick
