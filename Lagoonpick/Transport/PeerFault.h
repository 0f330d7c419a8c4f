#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Lagoonpick {

/// Why a peer's message was refused, or its connection closed.
enum class PeerFault : std::uint8_t {
    None,
    Malformed,
    HeaderTooLarge,
    ChunkLineTooLarge,
    TrailerTooLarge,
    BodyTooLarge,
    /// The message was not complete within its time.
    TooSlow,
    /// The answer was not read within its time, or too much waits to be read.
    NotReading,
    /// Closed to make room for other connections.
    ConnectionLimit,
    /// Refused or closed to make room for what other peers send.
    MemoryLimit,
    /// A link was closed because it sent no frame while others did the same.
    Unidentified,
};

inline constexpr std::size_t peerFaultCount = 11;

/// The name of a fault in metrics and log lines.
constexpr std::string_view nameOf(PeerFault fault)
{
    constexpr std::array<std::string_view, peerFaultCount> names {
        "none", "malformed", "header_too_large", "chunk_line_too_large", "trailer_too_large", "body_too_large", "too_slow", "not_reading", "connection_limit", "memory_limit", "unidentified"
    };
    return names[static_cast<std::size_t>(fault)];
}

/// Counts faults of peers by kind, and passes each to a callback with the peer's address.
class PeerFaults {
public:
    using OnFault = std::function<void(PeerFault, const std::string& peer)>;

    void setHandler(OnFault onFault) { onFault_ = std::move(onFault); }

    void add(PeerFault fault, const std::string& peer)
    {
        ++counts_[static_cast<std::size_t>(fault)];
        if (onFault_)
            onFault_(fault, peer);
    }

    std::uint64_t count(PeerFault fault) const { return counts_[static_cast<std::size_t>(fault)]; }

private:
    std::array<std::uint64_t, peerFaultCount> counts_ {};
    OnFault onFault_;
};

} // namespace Lagoonpick
