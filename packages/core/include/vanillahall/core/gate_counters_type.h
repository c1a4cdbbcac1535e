/** Counters of a gate. */
#pragma once

#include "vanillahall/core/cache_pin_manager_type.h"

#include <cstdint>

namespace Vanillahall {

/** Sums since the gate started. */
struct GateCounters
{
    std::uint64_t accepted{}; ///< Calls taken into the queue.
    std::uint64_t attached{}; ///< Orders attached to an existing call.
    std::uint64_t refused{};  ///< Orders refused for load, a planned stop or a conflict.
    std::uint64_t fenced{};   ///< Orders refused because of their epoch, incarnation or validity.
    std::uint64_t started{};  ///< Calls sent to the backend server.
    std::uint64_t finished{}; ///< Calls ended with a result.
    std::uint64_t failed{};   ///< Calls ended with an error.
    std::uint64_t unknown{};  ///< Non-repeatable calls whose outcome can't be determined.
    std::uint64_t resumed{};  ///< Resumes of streams over a new connection.
    std::uint64_t tokens{};   ///< Tokens generated.
    CacheCounters cache;      ///< Engine memory.
};

} // namespace Vanillahall
