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

TargetLoadView AgentRow::load() const
{
    TargetLoadView view { .capacity_ = report_.capacity_, .committed_ = report_.used_, .slowdown_ = static_cast<double>(report_.slowdownPermille_) / permille, .backlog_ = Duration(static_cast<Duration::rep>(report_.backlogMicroseconds_)), .typicalTime_ = Duration(static_cast<Duration::rep>(report_.typicalMicroseconds_)) };
    view.committed_ = view.committed_ + report_.queued_;
    for (auto run = runs_.upper_bound(report_.highestSeenRun_); run != runs_.end(); ++run)
        view.unseen_ = view.unseen_ + run->second;
    view.committed_ = view.committed_ + view.unseen_;
    return view;
}

} // namespace Lagoonpick
