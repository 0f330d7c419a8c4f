#include "UnitTests/Runs/RunLoad.h"

#include <algorithm>
#include <map>
#include <queue>

namespace Lagoonpick {

namespace {

/// Interval at which a target's speed is sampled to find the end of a run.
constexpr Duration samplingInterval = std::chrono::milliseconds(10);
constexpr Duration never = Duration::max();

/// The order in which waiting jobs are started.
enum class Order {
    EarliestDue,
    /// Least work in tasks that have not started.
    LeastWork,
};

Wire::Resources subtract(const Wire::Resources& used, const Wire::Resources& need)
{
    return { used.milliCores_ - need.milliCores_, used.memoryMegabytes_ - need.memoryMegabytes_, used.accelerators_ - need.accelerators_ };
}

/// A single queue for all targets that starts jobs in the given order. Knows all run times and disturbances in advance.
class ClairvoyantQueue {
public:
    ClairvoyantQueue(const LoadPlan& plan, Order order, Limit limit)
        : plan_(plan)
        , order_(order)
        , limit_(limit)
        , used_(plan.targets_.size())
        , outcome_(plan)
    {
    }

    LoadOutcome play()
    {
        std::size_t next = 0;
        while (next < plan_.jobs_.size() || !taskEnds_.empty()) {
            bool isArrival = next < plan_.jobs_.size() && (taskEnds_.empty() || plan_.jobs_[next].arrival_ <= taskEnds_.top().time_);
            Duration now = isArrival ? plan_.jobs_[next].arrival_ : taskEnds_.top().time_;
            if (isArrival)
                addJob(plan_.jobs_[next++]);
            else
                finishTask(now);
            startFittingTasks(now);
        }
        return outcome_;
    }

private:
    /// A job that is not done.
    struct OpenJob {
        const PlannedJob* job_;
        /// The first task that has not started; the number of tasks once all have started or the job is dropped.
        std::size_t nextTask_ { 0 };
        /// Number of tasks that have not ended.
        std::size_t openTasks_ { 0 };
    };

    /// The future end of a running task.
    struct TaskEnd {
        Duration time_;
        std::size_t target_;
        const PlannedJob* job_;
        bool operator>(const TaskEnd& other) const { return time_ > other.time_; }
    };

    void addJob(const PlannedJob& job)
    {
        // Jobs that do not count are known in advance and take no capacity.
        if (job.isCounted())
            jobs_[&job] = { &job, 0, job.work_.size() };
    }

    void finishTask(Duration now)
    {
        TaskEnd end = taskEnds_.top();
        taskEnds_.pop();
        used_[end.target_] = subtract(used_[end.target_], plan_.need_);
        OpenJob& openJob = jobs_[end.job_];
        if (--openJob.openTasks_)
            return;
        outcome_.recordDone(*end.job_, now - end.job_->arrival_);
        jobs_.erase(end.job_);
    }

    /// Returns when work that starts now on a target ends; `never` if that takes more than 10 s or the target stops working.
    Duration findEnd(std::size_t target, Duration work, Duration now) const
    {
        double left = static_cast<double>(work.count());
        for (Duration time = now; time < now + std::chrono::seconds(10); time += samplingInterval) {
            double speed = plan_.speedAt(target, time);
            if (!speed)
                return never;
            double done = speed * static_cast<double>(samplingInterval.count());
            if (left <= done)
                return time + Duration(static_cast<Duration::rep>(left / speed));
            left -= done;
        }
        return never;
    }

    Duration limitOf(const PlannedJob& job) const
    {
        return job.arrival_ + (limit_ == Limit::Objective ? job.objective_ : job.callerTimeout_);
    }

    /// Jobs with a lower key are started first.
    std::pair<std::uint32_t, Duration> sortKey(const OpenJob& openJob) const
    {
        std::uint32_t priority = plan_.kinds_[openJob.job_->kind_].priority_;
        return { priority, order_ == Order::EarliestDue ? limitOf(*openJob.job_) : unstartedWork(openJob) };
    }

    static Duration unstartedWork(const OpenJob& openJob)
    {
        Duration sum {};
        for (std::size_t task = openJob.nextTask_; task < openJob.job_->work_.size(); ++task)
            sum += openJob.job_->work_[task];
        return sum;
    }

    /// Starts tasks of the waiting jobs in order, until no working target has room.
    void startFittingTasks(Duration now)
    {
        std::vector<const PlannedJob*> order;
        for (const auto& [job, openJob] : jobs_) {
            if (openJob.nextTask_ < job->work_.size())
                order.push_back(job);
        }
        std::sort(order.begin(), order.end(), [this](const auto* left, const auto* right) { return std::pair(sortKey(jobs_[left]), left) < std::pair(sortKey(jobs_[right]), right); });
        for (const auto* job : order) {
            if (!startTasks(jobs_[job], now))
                return;
        }
    }

    /// Starts as many tasks of a job as fit, or drops the job if it can no longer be in time. Returns false if no working
    /// target has room.
    bool startTasks(OpenJob& openJob, Duration now)
    {
        while (openJob.nextTask_ < openJob.job_->work_.size()) {
            std::size_t best = 0;
            Duration earliest = never;
            bool hasWorkingTarget = false;
            for (std::size_t target = 0; target < plan_.targets_.size(); ++target) {
                if (!hasRoom(plan_.targets_[target].capacity_, used_[target], plan_.need_))
                    continue;
                hasWorkingTarget = hasWorkingTarget || plan_.speedAt(target, now) > 0;
                Duration end = findEnd(target, openJob.job_->work_[openJob.nextTask_], now);
                if (end < earliest) {
                    earliest = end;
                    best = target;
                }
            }
            if (!hasWorkingTarget)
                return false;
            Duration due = limitOf(*openJob.job_);
            if (earliest > due) {
                // The fastest target may get room before it is too late.
                if (now + shortestRunTime(openJob.job_->work_[openJob.nextTask_], now) > due)
                    drop(openJob);
                return true;
            }
            ++openJob.nextTask_;
            used_[best] = used_[best] + plan_.need_;
            taskEnds_.push({ earliest, best, openJob.job_ });
        }
        return true;
    }

    /// Run time of the work on the target that is fastest now; a practically infinite time if no target is working.
    Duration shortestRunTime(Duration work, Duration now) const
    {
        double speed = 0;
        for (std::size_t target = 0; target < plan_.targets_.size(); ++target)
            speed = std::max(speed, plan_.speedAt(target, now));
        return speed > 0 ? Duration(static_cast<Duration::rep>(static_cast<double>(work.count()) / speed)) : never / 2;
    }

    void drop(OpenJob& openJob)
    {
        // The running tasks of the job continue, but their ends no longer complete it.
        openJob.nextTask_ = openJob.job_->work_.size();
    }

    const LoadPlan& plan_;
    Order order_;
    Limit limit_;
    std::vector<Wire::Resources> used_;
    std::map<const PlannedJob*, OpenJob> jobs_;
    std::priority_queue<TaskEnd, std::vector<TaskEnd>, std::greater<>> taskEnds_;
    LoadOutcome outcome_;
};

std::ptrdiff_t countServed(const LoadPlan& plan, const LoadOutcome& outcome)
{
    return std::count_if(plan.jobs_.begin(), plan.jobs_.end(), [&](const PlannedJob& job) {
        return job.isCounted() && (outcome.resultOf(job) == CallerResult::InTime || outcome.resultOf(job) == CallerResult::Late);
    });
}

} // namespace

LoadOutcome playClairvoyant(const LoadPlan& plan, Limit limit)
{
    LoadOutcome byDue = ClairvoyantQueue(plan, Order::EarliestDue, limit).play();
    LoadOutcome byWork = ClairvoyantQueue(plan, Order::LeastWork, limit).play();
    return countServed(plan, byDue) > countServed(plan, byWork) ? byDue : byWork;
}

} // namespace Lagoonpick
