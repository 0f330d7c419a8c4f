#include "Lagoonpick/Transport/FrameHub.h"

#include "Lagoonpick/Core/Underlying.h"
#include "Lagoonpick/Transport/Http.h"

#include <boost/asio/steady_timer.hpp>
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

/// The library's client configuration with a short connect timeout: a SYN packet to an instance that is just starting is lost,
/// and the operating system sends the next one only after a second.
struct ClientConfig : websocketpp::config::asio_client {
    using type = ClientConfig;
    using base = websocketpp::config::asio_client;
    struct transport_config : base::transport_config { // NOLINT(readability-identifier-naming): the library's names
        /// In milliseconds; many times the round trip within a region.
        static const long timeout_connect = 200; // NOLINT(readability-identifier-naming)
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<ClientConfig>;
using websocketpp::connection_hdl;

template <typename Endpoint>
void configure(Endpoint& endpoint, asio::io_context& context, const LinkLimits& limits)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_max_message_size(limits.maxFrameBytes_);
    auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(limits.handshakeTimeout_).count();
    endpoint.set_open_handshake_timeout(timeout);
    endpoint.set_close_handshake_timeout(timeout);
    endpoint.set_tcp_post_init_handler([&endpoint](connection_hdl handle) {
        websocketpp::lib::error_code error;
        auto connection = endpoint.get_con_from_hdl(handle, error);
        boost::system::error_code ignored;
        if (connection)
            connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    });
}

} // namespace

struct FrameHub::State : std::enable_shared_from_this<FrameHub::State> {
    struct Link {
        connection_hdl handle_;
        bool isOutgoing_ { false };
        /// Empty for accepted links.
        std::string address_;
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
    }

    void start()
    {
        std::weak_ptr<State> weak = shared_from_this();
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

    void handleOpened(const connection_hdl& handle, bool isOutgoing, const std::string& address)
    {
        LinkId id { ++lastLinkId_ };
        links_[toUnderlying(id)] = { handle, isOutgoing, address };
        linkByHandle_[handle] = id;
        events_.onOpened_(id);
    }

    void handleClosed(const connection_hdl& handle)
    {
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
        if (!events_.onReceived_(id, frame))
            closeLink(id, true);
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
        connection->set_fail_handler([weak, address](const connection_hdl&) {
            if (auto self = weak.lock())
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
    bool trySend(Endpoint& endpoint, const connection_hdl& handle, const std::string& frame)
    {
        websocketpp::lib::error_code error;
        auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error || connection->get_buffered_amount() > limits_.maxBufferedBytes_)
            return false;
        return !connection->send(frame, websocketpp::frame::opcode::binary);
    }

    void send(LinkId id, const std::string& frame)
    {
        auto found = links_.find(toUnderlying(id));
        if (found == links_.end())
            return;
        bytesSent_ += frame.size();
        const Link& link = found->second;
        bool isSent = link.isOutgoing_ ? trySend(client_, link.handle_, frame) : trySend(server_, link.handle_, frame);
        if (isSent)
            return;
        std::weak_ptr<State> weak = shared_from_this();
        asio::post(context_, [weak, id] {
            if (auto self = weak.lock())
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

void FrameHub::closeAll()
{
    stopAccepting();
    state_->peers_.clear();
    while (!state_->links_.empty())
        state_->closeLink(LinkId(state_->links_.begin()->first), false);
}

} // namespace Lagoonpick
