#include "wait_queue_state_type.h"

namespace Vanillahall {

std::size_t WaitQueue::size() const
{
    return m_state->calls.size();
}

Duration WaitQueue::totalWork() const
{
    return m_state->totalWork;
}

} // namespace Vanillahall
