#pragma once

#include "Lagoonpick/Membership/PlatformView.h"
#include "Lagoonpick/Platform/PlatformClient.h"

#include <memory>
#include <random>

namespace Lagoonpick {

/// Keeps a `PlatformView` up to date: reads all keys, then follows their changes by a watch. When a read fails or the
/// watch ends, reads all keys again after a random delay of 100 to 500 ms; the last view stays available meanwhile.
///
/// Used from one thread only: the one that runs its `io_context`.
class PlatformWatcher {
public:
    /// Called with the current view whenever it or `isFresh` may have changed. `isFresh` is true while a watch keeps the
    /// view up to date.
    using OnChange = std::function<void(std::shared_ptr<const PlatformView>, bool isFresh)>;

    PlatformWatcher(boost::asio::io_context& context, PlatformClient& client, std::uint64_t seed, OnChange onChange);

    /// Runs until `stop`; spawn it on the context.
    boost::asio::awaitable<void> run();

    /// Makes `run` return before its next full read.
    void stop() { isStopped_ = true; }

private:
    /// Replaces the view by a full read; returns false if the read failed or was older than the view.
    boost::asio::awaitable<bool> readView();
    /// Applies changes to the view until the watch ends.
    boost::asio::awaitable<void> followChanges();
    boost::asio::awaitable<void> waitBeforeRetry();
    void apply(PlatformView&, const std::vector<PlatformItem>&);
    void publish(PlatformView view, bool isFresh);

    boost::asio::io_context& context_;
    PlatformClient& client_;
    std::mt19937_64 random_;
    OnChange onChange_;
    bool isStopped_ { false };
    std::shared_ptr<const PlatformView> view_;
};

} // namespace Lagoonpick
