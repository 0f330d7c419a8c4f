#pragma once

#include "Lagoonpick/Dispatch/ExpectedFinish.h"
#include "Lagoonpick/Dispatch/LeastLoad.h"
#include "Lagoonpick/Dispatch/PolicyName.h"
#include "Lagoonpick/Dispatch/RandomTarget.h"
#include "Lagoonpick/Dispatch/TwoChoices.h"

#include <variant>

namespace Lagoonpick {

/// Holds the policy that the settings select. The set of policies is closed, so calls need no virtual dispatch.
class AnyPolicy {
public:
    explicit AnyPolicy(PolicyName name);

    std::optional<TargetIndex> choose(const PolicyInput& input) const
    {
        return std::visit([&](const auto& policy) { return policy.choose(input); }, policy_);
    }

private:
    std::variant<ExpectedFinish, TwoChoices, LeastLoad, RandomTarget> policy_;
};

static_assert(TargetPolicy<AnyPolicy>);

} // namespace Lagoonpick
