/** What a gate counts about its own work. */
#pragma once

#include "vanillahall/core/cache_pin_manager_type.h"

#include <cstdint>

namespace Vanillahall {

/** Sums since the gate started. */
struct GateCounters
{
    std::uint64_t accepted{}; ///< Calls taken into the queue.
    std::uint64_t attached{}; ///< Orders that joined a call already known.
    std::uint64_t refused{};  ///< Orders refused for load, leaving, stopping or conflict.
    std::uint64_t fenced{};   ///< Orders refused by epoch, incarnation or validity.
    std::uint64_t started{};  ///< Calls sent to the backend server.
    std::uint64_t finished{}; ///< Calls ended with an answer.
    std::uint64_t failed{};   ///< Calls ended with an error.
    std::uint64_t unknown{};  ///< Non-repeatable calls whose outcome can't be learnt.
    std::uint64_t resumed{};  ///< Streams continued over a new connection.
    std::uint64_t tokens{};   ///< Tokens generated.
    CacheCounters cache;      ///< Engine memory.
};

} // namespace Vanillahall
