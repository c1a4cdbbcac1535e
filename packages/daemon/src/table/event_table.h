/** Names of all events; docs/EVENTS.md describes them. */
#pragma once

#include "vanillahall/core/log_type.h"

#include <array>
#include <string_view>

namespace Vanillahall {

/** One row of the table. */
struct EventRow
{
    EventNumber event;     ///< The event.
    std::string_view name; ///< Its name.
};

inline constexpr auto EventTable = std::to_array<EventRow>({
    {EventNumber::ProcessStarted, "process_started"},
    {EventNumber::StopBegun, "stop_begun"},
    {EventNumber::StopDone, "stop_done"},
    {EventNumber::SettingsFault, "settings_fault"},
    {EventNumber::SettingsReloaded, "settings_reloaded"},
    {EventNumber::LinesLeftOut, "lines_left_out"},
    {EventNumber::StopLimitReached, "stop_limit_reached"},
    {EventNumber::RequestRefused, "request_refused"},
    {EventNumber::RequestEnded, "request_ended"},
    {EventNumber::AttemptFailed, "attempt_failed"},
    {EventNumber::TokensReserved, "tokens_reserved"},
    {EventNumber::TurnKept, "turn_kept"},
    {EventNumber::ConversationRead, "conversation_read"},
    {EventNumber::AttemptAbandoned, "attempt_abandoned"},
    {EventNumber::CustomerChanged, "customer_changed"},
    {EventNumber::PermitRefused, "permit_refused"},
    {EventNumber::GrantorUnanswered, "grantor_unanswered"},
    {EventNumber::PermitAskInvalid, "permit_ask_invalid"},
    {EventNumber::OutageTokens, "outage_tokens"},
    {EventNumber::OwnersChanged, "owners_changed"},
    {EventNumber::ProgramBegun, "program_begun"},
    {EventNumber::ProgramDone, "program_done"},
    {EventNumber::TurnOrdered, "turn_ordered"},
    {EventNumber::TurnDone, "turn_done"},
    {EventNumber::TurnRetried, "turn_retried"},
    {EventNumber::OutcomeUnknown, "outcome_unknown"},
    {EventNumber::LeaseTaken, "lease_taken"},
    {EventNumber::LeaseLost, "lease_lost"},
    {EventNumber::LeaseExtended, "lease_extended"},
    {EventNumber::ShardLoaded, "shard_loaded"},
    {EventNumber::ShardHandedOver, "shard_handed_over"},
    {EventNumber::ServerChanged, "server_changed"},
    {EventNumber::ServerLimited, "server_limited"},
    {EventNumber::ServerLeaving, "server_leaving"},
    {EventNumber::ServerEnded, "server_ended"},
    {EventNumber::SaturationChanged, "saturation_changed"},
    {EventNumber::ProgramRefused, "program_refused"},
    {EventNumber::ProgramLooping, "program_looping"},
    {EventNumber::DependencyLost, "dependency_lost"},
    {EventNumber::StoreAway, "store_away"},
    {EventNumber::StoreBack, "store_back"},
    {EventNumber::OrderRefused, "order_refused"},
    {EventNumber::OrderFenced, "order_fenced"},
    {EventNumber::ServerAway, "server_away"},
    {EventNumber::ServerBack, "server_back"},
    {EventNumber::MemoryReleased, "memory_released"},
    {EventNumber::LinkLost, "link_lost"},
    {EventNumber::ConfigInForce, "config_in_force"},
    {EventNumber::ConfigRefused, "config_refused"},
    {EventNumber::ConfigUncertain, "config_uncertain"},
    {EventNumber::ContentQuarantined, "content_quarantined"},
    {EventNumber::ClientsClosed, "clients_closed"},
    {EventNumber::OperatorRefused, "operator_refused"},
});

} // namespace Vanillahall
