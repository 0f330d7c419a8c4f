#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <websocketpp/message_buffer/alloc.hpp>
#include <websocketpp/message_buffer/message.hpp>

/// Message types for the WebSocket library that account for what peers have sent of messages that are not complete. The library itself
/// bounds a single message only.
namespace Lagoonpick {

/// What all links of a hub hold.
struct HubMemory {
    std::uint64_t heldBytes_ { 0 };
    std::uint64_t maxHeldBytes_ { 0 };
    /// Called when more is held than allowed.
    std::function<void()> onExceeded_;
};

/// What one connection holds.
class ConnectionMemory {
public:
    ConnectionMemory() = default;
    ~ConnectionMemory() { attach(nullptr); }
    ConnectionMemory(const ConnectionMemory&) = delete;
    ConnectionMemory& operator=(const ConnectionMemory&) = delete;

    /// Counts the connection's bytes with those of a hub, or of none.
    void attach(std::shared_ptr<HubMemory> hub)
    {
        if (hub_)
            hub_->heldBytes_ -= heldBytes_;
        hub_ = std::move(hub);
        if (hub_)
            hub_->heldBytes_ += heldBytes_;
    }

    void replace(std::uint64_t oldBytes, std::uint64_t newBytes)
    {
        if (!heldBytes_)
            heldSince_ = std::chrono::steady_clock::now();
        heldBytes_ += newBytes - oldBytes;
        if (!hub_)
            return;
        hub_->heldBytes_ += newBytes - oldBytes;
        if (newBytes > oldBytes && hub_->heldBytes_ > hub_->maxHeldBytes_ && hub_->onExceeded_)
            hub_->onExceeded_();
    }

    std::uint64_t heldBytes() const { return heldBytes_; }

    /// Bytes times seconds.
    double cost(std::chrono::steady_clock::time_point now) const
    {
        return static_cast<double>(heldBytes_) * std::chrono::duration<double>(now - heldSince_).count();
    }

private:
    std::shared_ptr<HubMemory> hub_;
    std::uint64_t heldBytes_ { 0 };
    std::chrono::steady_clock::time_point heldSince_;
};

/// Base of the library's connections. The library creates a connection's message manager without arguments in the constructor of the
/// connection, after that of its bases; `newest` hands the connection's memory over to it.
struct ConnectionBase {
    ConnectionBase() { newest = memory_; }
    std::shared_ptr<ConnectionMemory> memory_ { std::make_shared<ConnectionMemory>() };
    static inline thread_local std::shared_ptr<ConnectionMemory> newest;
};

/// A message whose payload is counted as it arrives: the library fetches the payload to append each piece.
class CountedMessage : public websocketpp::message_buffer::message<websocketpp::message_buffer::alloc::con_msg_manager> {
public:
    using Base = websocketpp::message_buffer::message<websocketpp::message_buffer::alloc::con_msg_manager>;
    using ptr = std::shared_ptr<CountedMessage>; // NOLINT(readability-identifier-naming): the library's name

    explicit CountedMessage(std::shared_ptr<ConnectionMemory> memory)
        : Base(con_msg_man_ptr())
        , memory_(std::move(memory))
    {
    }

    CountedMessage(std::shared_ptr<ConnectionMemory> memory, websocketpp::frame::opcode::value opcode, std::size_t size)
        : Base(con_msg_man_ptr(), opcode, size)
        , memory_(std::move(memory))
    {
    }

    ~CountedMessage() { memory_->replace(countedBytes_, 0); }
    CountedMessage(const CountedMessage&) = delete;
    CountedMessage& operator=(const CountedMessage&) = delete;

    std::string& get_raw_payload() // NOLINT(readability-identifier-naming): the library's name
    {
        std::string& payload = Base::get_raw_payload();
        memory_->replace(countedBytes_, payload.size());
        countedBytes_ = payload.size();
        return payload;
    }

private:
    std::shared_ptr<ConnectionMemory> memory_;
    std::uint64_t countedBytes_ { 0 };
};

/// Creates the messages of one connection.
class CountingMessageManager {
public:
    // NOLINTBEGIN(readability-identifier-naming): the library's names
    using ptr = std::shared_ptr<CountingMessageManager>;
    using weak_ptr = std::weak_ptr<CountingMessageManager>;
    using message_ptr = CountedMessage::ptr;

    message_ptr get_message() const { return std::make_shared<CountedMessage>(memory_); }
    message_ptr get_message(websocketpp::frame::opcode::value opcode, std::size_t size) const { return std::make_shared<CountedMessage>(memory_, opcode, size); }
    // NOLINTEND(readability-identifier-naming)

private:
    std::shared_ptr<ConnectionMemory> memory_ { ConnectionBase::newest };
};

} // namespace Lagoonpick
