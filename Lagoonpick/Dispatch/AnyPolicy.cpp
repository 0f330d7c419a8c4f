#include "Lagoonpick/Dispatch/AnyPolicy.h"

namespace Lagoonpick {

AnyPolicy::AnyPolicy(PolicyName name)
{
    switch (name) {
    case PolicyName::ExpectedFinish:
        policy_ = ExpectedFinish();
        return;
    case PolicyName::TwoChoices:
        policy_ = TwoChoices();
        return;
    case PolicyName::LeastLoad:
        policy_ = LeastLoad();
        return;
    case PolicyName::RandomTarget:
        policy_ = RandomTarget();
        return;
    }
}

} // namespace Lagoonpick
