#include "Lagoonpick/Transport/FrameHub.h"

#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Transport/Http.h"
#include "Lagoonpick/Transport/LinkMemory.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <random>
#include <unordered_map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace Lagoonpick {

namespace asio = boost::asio;

namespace {

/// The library's configuration with messages whose bytes are counted.
template <typename Base>
struct CountingConfig : Base {
    // NOLINTBEGIN(readability-identifier-naming): the library's names
    using type = CountingConfig;
    using base = Base;
    using connection_base = ConnectionBase;
    using message_type = CountedMessage;
    using con_msg_manager_type = CountingMessageManager;
    using endpoint_msg_manager_type = websocketpp::message_buffer::alloc::endpoint_msg_manager<CountingMessageManager>;
    // NOLINTEND(readability-identifier-naming)
};

/// The library's client configuration with a short connect timeout: a SYN packet to an instance that is just starting is lost,
/// and the operating system sends the next one only after a second.
struct ClientConfig : CountingConfig<websocketpp::config::asio_client> {
    using type = ClientConfig;
    using base = websocketpp::config::asio_client;
    struct transport_config : base::transport_config { // NOLINT(readability-identifier-naming): the library's names
        /// In milliseconds; many times the round trip within a region.
        static const long timeout_connect = 200; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using Server = websocketpp::server<CountingConfig<websocketpp::config::asio>>;
using Client = websocketpp::client<ClientConfig>;
using websocketpp::connection_hdl;

template <typename Endpoint>
void configure(Endpoint& endpoint, asio::io_context& context, const LinkLimits& limits)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(limits.maxFrameBytes_);
    // A handshake has no body; the library bounds its header by 16,000 bytes.
    endpoint.set_max_http_body_size(0);
    // The library would queue an answer for each, without a limit for a peer that doesn't read. This project sends none.
    endpoint.set_ping_handler([](const connection_hdl&, const std::string&) { return false; });
    auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.handshakeTimeout_).count();
    endpoint.set_open_handshake_timeout(timeout);
    endpoint.set_close_handshake_timeout(timeout);
}

} // namespace

struct FrameHub::State : std::enable_shared_from_this<FrameHub::State> {
    struct Link {
        connection_hdl handle_;
        bool isOutgoing_ { false };
        /// Empty for accepted links.
        std::string address_;
    };

    /// A connection, from its first byte to its end, with or without a link.
    struct Tracked {
        connection_hdl handle_;
        bool isOutgoing_ { false };
        std::shared_ptr<ConnectionMemory> memory_;
        /// It has sent a frame that could be decoded.
        bool isIdentified_ { false };
        bool isEvicted_ { false };
    };

    struct Peer {
        explicit Peer(asio::io_context& context)
            : timer_(context)
        {
        }
        asio::steady_timer timer_;
        bool isConnecting_ { false };
        Duration reconnectDelay_ {};
        connection_hdl handle_;
    };

    State(asio::io_context& context, LinkLimits limits, FrameEvents events, std::uint64_t seed)
        : context_(context)
        , limits_(limits)
        , events_(std::move(events))
        , random_(seed)
    {
        configure(server_, context, limits);
        configure(client_, context, limits);
        server_.set_reuse_addr(true);
        memory_->maxHeldBytes_ = limits.maxHeldBytes_;
    }

    ~State()
    {
        memory_->onExceeded_ = {};
    }

    void start()
    {
        std::weak_ptr<State> weak = shared_from_this();
        memory_->onExceeded_ = [weak] {
            auto self = weak.lock();
            if (!self || std::exchange(self->isFreeing_, true))
                return;
            // Not at once: the library is about to append to the message.
            asio::post(self->context_, [weak] {
                if (auto hub = weak.lock())
                    hub->freeMemory();
            });
        };
        server_.set_tcp_post_init_handler([weak](const connection_hdl& handle) {
            if (auto self = weak.lock())
                self->track(self->server_, handle, false);
        });
        client_.set_tcp_post_init_handler([weak](const connection_hdl& handle) {
            if (auto self = weak.lock())
                self->track(self->client_, handle, true);
        });
        server_.set_fail_handler([weak](const connection_hdl& handle) {
            if (auto self = weak.lock())
                self->tracked_.erase(handle);
        });
        server_.set_validate_handler([weak](const connection_hdl&) {
            auto self = weak.lock();
            return self && self->links_.size() < self->limits_.maxLinks_;
        });
        server_.set_open_handler([weak](const connection_hdl& handle) {
            if (auto self = weak.lock())
                self->handleOpened(handle, false, {});
        });
        server_.set_close_handler([weak](const connection_hdl& handle) {
            if (auto self = weak.lock())
                self->handleClosed(handle);
        });
        server_.set_message_handler([weak](const connection_hdl& handle, const Server::message_ptr& message) {
            if (auto self = weak.lock())
                self->handleFrame(handle, message->get_payload());
        });
    }

    /// Begins to account for a connection.
    template <typename Endpoint>
    void track(Endpoint& endpoint, const connection_hdl& handle, bool isOutgoing)
    {
        websocketpp::lib::error_code error;
        auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!connection)
            return;
        boost::system::error_code ignored;
        connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        connection->memory_->attach(memory_);
        tracked_[handle] = { .handle_ = handle, .isOutgoing_ = isOutgoing, .memory_ = connection->memory_, .isIdentified_ = isOutgoing };
        if (isOutgoing)
            return;
        unidentified_.push_back(handle);
        limitUnidentified();
    }

    /// Closes the oldest of the connections that have sent no frame, if there are too many.
    void limitUnidentified()
    {
        std::erase_if(unidentified_, [this](const connection_hdl& handle) {
            auto found = tracked_.find(handle);
            return found == tracked_.end() || found->second.isIdentified_ || found->second.isEvicted_;
        });
        while (unidentified_.size() > limits_.maxUnidentified_) {
            evict(tracked_.at(unidentified_.front()), PeerFault::Unidentified);
            unidentified_.pop_front();
        }
    }

    /// Resets a connection. Its link is closed when the library learns of it.
    void evict(Tracked& tracked, PeerFault fault)
    {
        tracked.isEvicted_ = true;
        faults_.add(fault, tracked.isOutgoing_ ? remoteAddress(client_, tracked.handle_) : remoteAddress(server_, tracked.handle_));
        if (tracked.isOutgoing_)
            resetConnection(client_, tracked.handle_);
        else
            resetConnection(server_, tracked.handle_);
    }

    /// Closes the connections that have held most for longest until what the others hold is within the limit.
    void freeMemory()
    {
        isFreeing_ = false;
        auto now = std::chrono::steady_clock::now();
        std::vector<Tracked*> holders;
        std::uint64_t heldBytes = 0;
        for (auto& [handle, tracked] : tracked_) {
            if (tracked.isEvicted_ || !tracked.memory_->heldBytes())
                continue;
            holders.push_back(&tracked);
            heldBytes += tracked.memory_->heldBytes();
        }
        std::sort(holders.begin(), holders.end(), [now](const Tracked* left, const Tracked* right) { return left->memory_->cost(now) > right->memory_->cost(now); });
        for (auto* holder : holders) {
            if (heldBytes <= limits_.maxHeldBytes_)
                return;
            heldBytes -= holder->memory_->heldBytes();
            evict(*holder, PeerFault::MemoryLimit);
        }
    }

    void handleOpened(const connection_hdl& handle, bool isOutgoing, const std::string& address)
    {
        LinkId id { ++lastLinkId_ };
        links_[toUnderlying(id)] = { handle, isOutgoing, address };
        linkByHandle_[handle] = id;
        events_.onOpened_(id);
    }

    void handleClosed(const connection_hdl& handle)
    {
        tracked_.erase(handle);
        auto found = linkByHandle_.find(handle);
        if (found == linkByHandle_.end())
            return;
        LinkId id = found->second;
        linkByHandle_.erase(found);
        std::string address = links_[toUnderlying(id)].address_;
        links_.erase(toUnderlying(id));
        events_.onClosed_(id);
        scheduleReconnect(address);
    }

    void handleFrame(const connection_hdl& handle, const std::string& frame)
    {
        auto found = linkByHandle_.find(handle);
        if (found == linkByHandle_.end())
            return;
        bytesReceived_ += frame.size();
        LinkId id = found->second;
        if (!events_.onReceived_(id, frame)) {
            closeLink(id, true);
            return;
        }
        if (auto tracked = tracked_.find(handle); tracked != tracked_.end())
            tracked->second.isIdentified_ = true;
    }

    void closeLink(LinkId id, bool notifiesHost)
    {
        auto found = links_.find(toUnderlying(id));
        if (found == links_.end())
            return;
        Link link = found->second;
        links_.erase(found);
        linkByHandle_.erase(link.handle_);
        closeConnection(link);
        if (notifiesHost)
            events_.onClosed_(id);
        scheduleReconnect(link.address_);
    }

    void closeConnection(const Link& link)
    {
        websocketpp::lib::error_code error;
        constexpr auto code = websocketpp::close::status::policy_violation;
        if (link.isOutgoing_)
            client_.close(link.handle_, code, "", error);
        else
            server_.close(link.handle_, code, "", error);
    }

    template <typename Endpoint>
    void resetConnection(Endpoint& endpoint, const connection_hdl& handle)
    {
        websocketpp::lib::error_code error;
        auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error)
            return;
        boost::system::error_code ignored;
        auto& socket = connection->get_raw_socket();
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    void abort(LinkId id)
    {
        auto found = links_.find(toUnderlying(id));
        if (found == links_.end())
            return;
        Link link = found->second;
        links_.erase(found);
        linkByHandle_.erase(link.handle_);
        if (link.isOutgoing_)
            resetConnection(client_, link.handle_);
        else
            resetConnection(server_, link.handle_);
        scheduleReconnect(link.address_);
    }

    void connectTo(const std::string& address)
    {
        auto found = peers_.find(address);
        if (found == peers_.end() || found->second.isConnecting_)
            return;
        websocketpp::lib::error_code error;
        auto connection = client_.get_connection("ws://" + address + "/", error);
        if (error) {
            scheduleReconnect(address);
            return;
        }
        found->second.isConnecting_ = true;
        found->second.handle_ = connection->get_handle();
        std::weak_ptr<State> weak = shared_from_this();
        connection->set_open_handler([weak, address](const connection_hdl& handle) {
            auto self = weak.lock();
            if (self)
                self->handleConnected(handle, address);
        });
        connection->set_fail_handler([weak, address](const connection_hdl& handle) {
            auto self = weak.lock();
            if (!self)
                return;
            self->tracked_.erase(handle);
            self->handleConnectFailure(address);
        });
        connection->set_close_handler([weak](const connection_hdl& handle) {
            if (auto self = weak.lock())
                self->handleClosed(handle);
        });
        connection->set_message_handler([weak](const connection_hdl& handle, const Client::message_ptr& message) {
            if (auto self = weak.lock())
                self->handleFrame(handle, message->get_payload());
        });
        client_.connect(connection);
    }

    void handleConnected(const connection_hdl& handle, const std::string& address)
    {
        auto found = peers_.find(address);
        if (found == peers_.end()) {
            websocketpp::lib::error_code ignored;
            client_.close(handle, websocketpp::close::status::going_away, "", ignored);
            return;
        }
        found->second.isConnecting_ = false;
        found->second.reconnectDelay_ = {};
        handleOpened(handle, true, address);
    }

    void handleConnectFailure(const std::string& address)
    {
        auto found = peers_.find(address);
        if (found == peers_.end())
            return;
        found->second.isConnecting_ = false;
        scheduleReconnect(address);
    }

    /// Schedules the next attempt to connect, with exponential backoff. Up to half of the delay is random, which keeps processes
    /// from reconnecting all at once.
    void scheduleReconnect(const std::string& address)
    {
        auto found = peers_.find(address);
        if (found == peers_.end())
            return;
        Peer& peer = found->second;
        peer.reconnectDelay_ = std::clamp(peer.reconnectDelay_ * 2, limits_.minReconnectDelay_, limits_.maxReconnectDelay_);
        std::uniform_int_distribution<Duration::rep> delayDistribution(peer.reconnectDelay_.count() / 2, peer.reconnectDelay_.count());
        peer.timer_.expires_after(Duration(delayDistribution(random_)));
        std::weak_ptr<State> weak = shared_from_this();
        peer.timer_.async_wait([weak, address](const boost::system::error_code& error) {
            auto self = weak.lock();
            if (self && !error)
                self->connectTo(address);
        });
    }

    void setPeerAddresses(const std::vector<std::string>& addresses)
    {
        for (const auto& address : addresses) {
            auto [found, isNew] = peers_.try_emplace(address, context_);
            if (isNew)
                connectTo(address);
        }
        std::vector<std::string> removed;
        for (const auto& [address, peer] : peers_) {
            if (std::find(addresses.begin(), addresses.end(), address) == addresses.end())
                removed.push_back(address);
        }
        for (const auto& address : removed)
            removePeer(address);
    }

    void removePeer(const std::string& address)
    {
        peers_.erase(address);
        std::vector<LinkId> linksToClose;
        for (const auto& [id, link] : links_) {
            if (link.address_ == address)
                linksToClose.push_back(LinkId(id));
        }
        for (auto id : linksToClose)
            closeLink(id, true);
    }

    template <typename Endpoint>
    std::size_t unsentBytes(Endpoint& endpoint, const connection_hdl& handle)
    {
        websocketpp::lib::error_code error;
        auto connection = endpoint.get_con_from_hdl(handle, error);
        return error ? 0 : connection->get_buffered_amount();
    }

    std::size_t unsentBytes(const Link& link)
    {
        return link.isOutgoing_ ? unsentBytes(client_, link.handle_) : unsentBytes(server_, link.handle_);
    }

    template <typename Endpoint>
    bool trySend(Endpoint& endpoint, const connection_hdl& handle, const std::string& frame)
    {
        websocketpp::lib::error_code error;
        auto connection = endpoint.get_con_from_hdl(handle, error);
        return !error && !connection->send(frame, websocketpp::frame::opcode::binary);
    }

    void send(LinkId id, const std::string& frame)
    {
        auto found = links_.find(toUnderlying(id));
        if (found == links_.end())
            return;
        bytesSent_ += frame.size();
        const Link& link = found->second;
        auto unsent = unsentBytes(link);
        if (unsent > limits_.maxBufferedBytes_) {
            closeLater(id, PeerFault::NotReading);
            return;
        }
        bool isSent = link.isOutgoing_ ? trySend(client_, link.handle_, frame) : trySend(server_, link.handle_, frame);
        if (!isSent)
            closeLater(id, PeerFault::None);
        else if (unsent)
            limitUnsent();
    }

    /// Closes the link with most bytes to be written, if all links together have too many.
    void limitUnsent()
    {
        std::uint64_t total = 0;
        std::uint64_t most = 0;
        LinkId slowest {};
        for (const auto& [id, link] : links_) {
            std::uint64_t unsent = unsentBytes(link);
            total += unsent;
            if (unsent > most) {
                most = unsent;
                slowest = LinkId { id };
            }
        }
        if (total > limits_.maxUnsentBytes_)
            closeLater(slowest, PeerFault::NotReading);
    }

    /// Closes a link once the present event is handled.
    void closeLater(LinkId id, PeerFault fault)
    {
        std::weak_ptr<State> weak = shared_from_this();
        asio::post(context_, [weak, id, fault] {
            auto self = weak.lock();
            if (!self || !self->links_.contains(toUnderlying(id)))
                return;
            if (fault != PeerFault::None)
                self->faults_.add(fault, self->peerAddress(id));
            self->closeLink(id, true);
        });
    }

    template <typename Endpoint>
    std::string remoteAddress(Endpoint& endpoint, const connection_hdl& handle)
    {
        websocketpp::lib::error_code error;
        auto connection = endpoint.get_con_from_hdl(handle, error);
        return error ? std::string() : connection->get_remote_endpoint();
    }

    std::string peerAddress(LinkId id)
    {
        auto found = links_.find(toUnderlying(id));
        if (found == links_.end())
            return {};
        const Link& link = found->second;
        return link.isOutgoing_ ? link.address_ : remoteAddress(server_, link.handle_);
    }

    asio::io_context& context_;
    LinkLimits limits_;
    FrameEvents events_;
    std::mt19937_64 random_;
    Server server_;
    Client client_;
    std::uint64_t lastLinkId_ { 0 };
    std::uint64_t bytesSent_ { 0 };
    std::uint64_t bytesReceived_ { 0 };
    std::unordered_map<std::uint64_t, Link> links_;
    std::map<connection_hdl, LinkId, std::owner_less<connection_hdl>> linkByHandle_;
    std::map<std::string, Peer> peers_;
    std::shared_ptr<HubMemory> memory_ { std::make_shared<HubMemory>() };
    std::map<connection_hdl, Tracked, std::owner_less<connection_hdl>> tracked_;
    /// Accepted connections that have sent no frame, and others that were among them, in the order of their arrival.
    std::list<connection_hdl> unidentified_;
    bool isFreeing_ { false };
    PeerFaults faults_;
};

FrameHub::FrameHub(asio::io_context& context, LinkLimits limits, FrameEvents events, std::uint64_t seed)
    : state_(std::make_shared<State>(context, limits, std::move(events), seed))
{
    state_->start();
}

FrameHub::~FrameHub() = default;

std::string FrameHub::listen(const std::string& address)
{
    websocketpp::lib::error_code error;
    state_->server_.listen(toEndpoint(address), error);
    if (error)
        return "can't listen on " + address + ": " + error.message();
    state_->server_.start_accept(error);
    return error ? "can't accept on " + address + ": " + error.message() : std::string();
}

void FrameHub::stopAccepting()
{
    websocketpp::lib::error_code ignored;
    if (state_->server_.is_listening())
        state_->server_.stop_listening(ignored);
}

void FrameHub::setPeerAddresses(const std::vector<std::string>& addresses)
{
    state_->setPeerAddresses(addresses);
}

void FrameHub::send(LinkId link, const std::string& frame)
{
    state_->send(link, frame);
}

void FrameHub::close(LinkId link)
{
    state_->closeLink(link, false);
}

void FrameHub::abort(LinkId link)
{
    state_->abort(link);
}

std::string FrameHub::peerAddress(LinkId link) const
{
    return state_->peerAddress(link);
}

std::uint64_t FrameHub::bytesSent() const
{
    return state_->bytesSent_;
}

std::uint64_t FrameHub::bytesReceived() const
{
    return state_->bytesReceived_;
}

PeerFaults& FrameHub::faults()
{
    return state_->faults_;
}

const PeerFaults& FrameHub::faults() const
{
    return state_->faults_;
}

void FrameHub::closeAll()
{
    stopAccepting();
    state_->peers_.clear();
    while (!state_->links_.empty())
        state_->closeLink(LinkId(state_->links_.begin()->first), false);
}

} // namespace Lagoonpick
