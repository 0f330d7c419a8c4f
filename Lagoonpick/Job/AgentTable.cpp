#include "Lagoonpick/Job/AgentTable.h"

namespace Lagoonpick {

namespace {

constexpr double permille = 1000;

} // namespace

bool AgentRow::isSuccessorOf(const AgentRow& other) const
{
    bool hasSamePlace = name_ == other.name_ && controlAddress_ == other.controlAddress_ && targetAddress_ == other.targetAddress_;
    return hasSamePlace && latestLink_ > other.latestLink_;
}

double AgentRow::slowdown() const
{
    return static_cast<double>(report_.slowdownPermille_) / permille;
}

Wire::Resources AgentRow::committed() const
{
    Wire::Resources sum = report_.used_ + report_.queued_;
    for (auto run = runs_.upper_bound(report_.highestSeenRun_); run != runs_.end(); ++run)
        sum = sum + run->second.need_;
    return sum;
}

TargetLoadView AgentRow::load(const StartOrder& order) const
{
    TargetLoadView view {
        .capacity_ = report_.capacity_,
        .committed_ = committed(),
        .slowdown_ = slowdown(),
        .backlog_ = backlog_.waitOf(order),
        .typicalTime_ = Duration(static_cast<Duration::rep>(report_.typicalMicroseconds_)),
    };
    for (auto run = runs_.upper_bound(report_.highestSeenRun_); run != runs_.end(); ++run) {
        if (run->second.order_ <= order)
            view.unseen_ = view.unseen_ + run->second.need_;
    }
    return view;
}

} // namespace Lagoonpick
