#include "Lagoonpick/Dispatch/FairQueue.h"

#include <algorithm>
#include <cassert>

namespace Lagoonpick {

namespace {

/// Further teams share one place of default weight behind these, so that callers can't exhaust memory with invented team names.
constexpr std::size_t maxTeams = 4096;

} // namespace

FairQueue::TeamIndex FairQueue::findOrAdd(const std::string& name)
{
    auto found = indexOf_.find(name);
    if (found != indexOf_.end())
        return found->second;
    auto index = static_cast<TeamIndex>(std::min(teams_.size(), maxTeams));
    if (teams_.size() <= maxTeams)
        teams_.emplace_back();
    if (index < maxTeams)
        indexOf_.emplace(name, index);
    return index;
}

void FairQueue::push(const std::string& name, JobIndex job, Time due)
{
    TeamIndex index = findOrAdd(name);
    Team& team = teams_[index];
    if (team.jobs_.empty()) {
        // A team that was idle gets no credit for the service that it did not use.
        team.virtualTime_ = std::max(team.virtualTime_, currentVirtualTime_);
        order_.insert({ team.virtualTime_, index });
    }
    team.jobs_.insert({ due, job });
}

std::optional<JobIndex> FairQueue::front() const
{
    if (order_.empty())
        return std::nullopt;
    return teams_[order_.begin()->team_].jobs_.begin()->job_;
}

void FairQueue::serveFront(bool hasMore)
{
    reorderFront(1, hasMore);
}

void FairQueue::removeFront()
{
    reorderFront(0, false);
}

void FairQueue::reorderFront(double cost, bool hasMore)
{
    TeamKey key = *order_.begin();
    order_.erase(order_.begin());
    Team& team = teams_[key.team_];
    if (!hasMore)
        team.jobs_.erase(team.jobs_.begin());
    team.virtualTime_ += cost / team.weight_;
    currentVirtualTime_ = std::max(currentVirtualTime_, key.virtualTime_);
    if (!team.jobs_.empty())
        order_.insert({ team.virtualTime_, key.team_ });
}

void FairQueue::setWeight(const std::string& name, double weight)
{
    assert(weight > 0);
    TeamIndex index = findOrAdd(name);
    if (index < maxTeams)
        teams_[index].weight_ = weight;
}

} // namespace Lagoonpick
