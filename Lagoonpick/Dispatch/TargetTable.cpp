#include "Lagoonpick/Dispatch/TargetTable.h"

#include "Lagoonpick/Core/Underlying.h"

#include <utility>

namespace Lagoonpick {

TargetIndex TargetTable::findOrAdd(const std::string& name)
{
    auto [found, isNew] = indexOf_.emplace(name, size());
    if (isNew) {
        targets_.push_back({ .name_ = name });
        loads_.emplace_back();
    }
    return found->second;
}

TargetIndex TargetTable::findByLink(LinkId link) const
{
    auto found = byLink_.find(toUnderlying(link));
    return found == byLink_.end() ? noTarget : found->second;
}

void TargetTable::bind(TargetIndex index, LinkId link)
{
    unbind(index);
    targets_[index].link_ = link;
    loads_[index].isOpen_ = !targets_[index].load_.isDraining_;
    byLink_[toUnderlying(link)] = index;
}

void TargetTable::unbind(TargetIndex index)
{
    if (!targets_[index].link_)
        return;
    byLink_.erase(toUnderlying(*targets_[index].link_));
    targets_[index].link_ = std::nullopt;
    loads_[index].isOpen_ = false;
}

void TargetTable::updateLoad(TargetIndex index, const Wire::Load& load)
{
    Target& target = targets_[index];
    TargetLoad& targetLoad = loads_[index];
    target.load_ = load;
    std::uint32_t total = load.running_ + load.queued_;
    targetLoad.slots_ = load.slots_;
    targetLoad.isOpen_ = target.link_ && !load.isDraining_;
    targetLoad.othersLoad_ = total > targetLoad.outstanding_ ? total - targetLoad.outstanding_ : 0;
}

} // namespace Lagoonpick
