#include "ContractTests/Support/Process.h"
#include "Lagoonpick/Transport/RunLinks.h"

#include <catch2/catch.hpp>

namespace Lagoonpick {

namespace {

constexpr Duration timeout = std::chrono::seconds(5);

/// A hub that accepts links, and one end of a link to it that sends and receives plain frames.
struct HubFixture {
    void connect()
    {
        std::string address = Contract::findFreeAddress();
        REQUIRE(hub_.listen(address).empty());
        peer_.setPeerAddresses({ address });
        runUntil([this] { return peerLink_ && hubLink_; });
    }

    template <typename Condition>
    void runUntil(Condition isMet)
    {
        auto end = std::chrono::steady_clock::now() + timeout;
        while (!isMet() && std::chrono::steady_clock::now() < end)
            context_.run_for(std::chrono::milliseconds(5));
        REQUIRE(isMet());
    }

    ~HubFixture()
    {
        peer_.closeAll();
        hub_.closeAll();
    }

    boost::asio::io_context context_ { 1 };
    std::optional<LinkId> hubLink_;
    std::optional<LinkId> peerLink_;
    std::size_t closedCount_ { 0 };
    std::vector<std::pair<std::string, std::string>> rejected_;
    std::vector<std::string> frames_;
    MessageHub<Wire::RunCodec> hub_ { context_, makeRunLinkLimits(), { [this](LinkId link) { hubLink_ = link; }, [this](LinkId) { ++closedCount_; }, [](LinkId, const std::vector<Wire::RunMessage>&) {}, [this](const std::string& sender, const Error& fault) { rejected_.emplace_back(sender, fault.message_); } }, 1 };
    FrameHub peer_ { context_, makeRunLinkLimits(), { [this](LinkId link) { peerLink_ = link; }, [](LinkId) {}, [this](LinkId, const std::string& frame) { frames_.push_back(frame); return true; } }, 2 };
};

} // namespace

// Guards against: a link that was closed for a frame that can't be decoded left no trace of the sender or of what was wrong.
TEST_CASE("A frame that can't be decoded closes its link, and its sender and fault are reported once")
{
    HubFixture fixture;
    fixture.connect();
    fixture.peer_.send(*fixture.peerLink_, Wire::RunCodec::encode(std::vector<Wire::RunMessage> { Wire::StopRun { 1 }, Wire::StopRun { 0 } }));
    fixture.runUntil([&] { return fixture.closedCount_ == 1; });
    REQUIRE(fixture.rejected_.size() == 1);
    CHECK_THAT(fixture.rejected_[0].first, Catch::Matchers::StartsWith("127.0.0.1:"));
    CHECK(fixture.rejected_[0].second == "message 1 (stop_run): the field 'run' is below its limit");
}

// Guards against: a frame with more messages than a receiver accepts closed the link.
TEST_CASE("Many messages go out in several frames, in order")
{
    HubFixture fixture;
    fixture.connect();
    std::vector<Wire::Outgoing<Wire::RunMessage>> messages;
    constexpr std::uint64_t count = 2500;
    for (std::uint64_t run = 1; run <= count; ++run)
        messages.push_back({ *fixture.hubLink_, Wire::StopRun { run } });
    fixture.hub_.send(std::move(messages));
    fixture.runUntil([&] { return fixture.frames_.size() == 3; });
    std::uint64_t next = 1;
    for (const auto& frame : fixture.frames_) {
        auto decoded = Wire::RunCodec::decode(frame);
        REQUIRE(decoded.has_value());
        for (const auto& message : decoded.value())
            CHECK(std::get<Wire::StopRun>(message).run_ == next++);
    }
    CHECK(next == count + 1);
}

} // namespace Lagoonpick
