/** Text and HTTP status of each error code. */
#pragma once

#include "vanillahall/core/error_type.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace Vanillahall {

/** One row of the table. */
struct ErrorCodeRow
{
    ErrorCode code;         ///< The error code.
    std::string_view text;  ///< Text form, as callers receive it.
    std::uint32_t status{}; ///< Its HTTP status.
};

inline constexpr auto ErrorCodeTable = std::to_array<ErrorCodeRow>({
    {ErrorCode::BadRequest, "bad_request", 400},
    {ErrorCode::Unauthorized, "unauthorized", 401},
    {ErrorCode::Forbidden, "forbidden", 403},
    {ErrorCode::NotFound, "not_found", 404},
    {ErrorCode::Conflict, "conflict", 409},
    {ErrorCode::TurnGap, "turn_gap", 409},
    {ErrorCode::TurnBusy, "turn_busy", 409},
    {ErrorCode::ProgramEnded, "program_ended", 409},
    {ErrorCode::BudgetExceeded, "budget_exceeded", 403},
    {ErrorCode::TooLarge, "too_large", 413},
    {ErrorCode::Overloaded, "overloaded", 503},
    {ErrorCode::TargetImpossible, "target_impossible", 503},
    {ErrorCode::Stopping, "stopping", 503},
    {ErrorCode::NoServer, "no_server", 503},
    {ErrorCode::StaleEpoch, "stale_epoch", 503},
    {ErrorCode::OrderExpired, "order_expired", 503},
    {ErrorCode::WrongIncarnation, "wrong_incarnation", 503},
    {ErrorCode::NotHolder, "not_holder", 503},
    {ErrorCode::HolderUnknown, "holder_unknown", 503},
    {ErrorCode::StoreUnavailable, "store_unavailable", 503},
    {ErrorCode::VersionMismatch, "version_mismatch", 412},
    {ErrorCode::Timeout, "timeout", 504},
    {ErrorCode::Cancelled, "cancelled", 409},
    {ErrorCode::ServerFailed, "server_failed", 502},
    {ErrorCode::ServerRefused, "server_refused", 502},
    {ErrorCode::Quarantined, "quarantined", 422},
    {ErrorCode::PeerLost, "peer_lost", 502},
    {ErrorCode::Internal, "internal", 500},
});

} // namespace Vanillahall
