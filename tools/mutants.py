#!/usr/bin/env python3
"""Mutation testing: disables one safeguard of the proxy's decisions at a time, in a copy of the tree, and checks that a test fails.

Usage: tools/mutants.py [WORK_DIR [TEXT]]      (default: a new folder under /tmp; reusing a folder makes builds incremental)
With TEXT, only mutants whose name or source path contains it.

Each mutant is a replacement of one piece of text in one source. The line of a mutant is "caught" with the tests that failed, or "NOT CAUGHT".
Exit status 1 if any mutant is not caught or no longer applies.
"""
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

CORE = "packages/core/src/"
PROXY = "packages/proxy/src/"

# name, source, text, replacement, test program, --gtest_filter
MUTANTS = [
    ("tokens counted twice", CORE + "commands/token_ledger_cmd.cpp", "account.available += account.pendingTokens;", "account.available += 2 * account.pendingTokens;",
     "core_test", "TokenLedgerProperty*"),
    ("two turns beyond the budget", CORE + "commands/token_ledger_cmd.cpp", "missing > request.budget + request.maxTokens)", "missing > request.budget + 2 * request.maxTokens)",
     "core_test", "TokenLedgerProperty*"),
    ("a refused write counts as done", CORE + "commands/token_ledger_cmd.cpp", "    if (row.writer == it->second.openWrite->row.writer) {", "    if (true) {",
     "core_test", "TokenLedgerProperty*"),
    ("an older ask counts", CORE + "customer/permit_grantor.cpp", "if (ask.number <= use.number) {", "if (false) {",
     "core_test", "PermitGrantor*"),
    ("a grantor grants with an outdated list", CORE + "customer/permit_grantor.cpp", "now - *m_readAt <= MemberListLifetime", "true",
     "core_test", "*PermitGrantor*"),
    ("two grantors exceed the tolerance", CORE + "customer/permit_grantor.cpp", "constexpr double CapacityFraction = 0.5;", "constexpr double CapacityFraction = 1;",
     "core_test", "PermitGrantor*"),
    ("a late report counts", CORE + "customer/quota_ledger.cpp", "if (isSameProcess && report.number <= remote.number) {", "if (false) {",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("reports count in full each time", CORE + "customer/quota_ledger.cpp", "static_cast<double>(it.sent - known.sent);", "static_cast<double>(it.sent);",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("the baseline counts", CORE + "customer/quota_ledger.cpp", "if (!isBaseline && it.sent > known.sent) {", "if (it.sent > known.sent) {",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("requests of long ago count", CORE + "customer/quota_ledger.cpp", "isNew && remote.isFollowedLate ? std::min(added, std::ceil(recent)) : added", "added",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("a row that comes back counts anew", CORE + "customer/quota_ledger.cpp", "isBaseline || (isNewVm && report.number > ReportedRounds)", "isBaseline",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("a new incarnation goes on at the old counts", CORE + "customer/quota_ledger.cpp", "const bool isSameProcess = remote.incarnation == report.incarnation;", "const bool isSameProcess = !isNewVm;",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("counts fall while a limit is removed", CORE + "customer/quota_ledger.cpp", "m_formerSent[it.first] = it.second.sent;", "(void)m_formerSent;",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("new programs use the reserve", CORE + "customer/quota_ledger.cpp", "(request.isInProgress ? 0.0 : ReserveFraction * std::max(account.limit.burst, 0.0))", "0.0",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("a used up part refuses the customer", CORE + "customer/quota_ledger.cpp", "    if (account.part < 1) {\n        return QuotaBusy{};", "    if (account.part < 1) {\n        return QuotaRefused{};",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("a proxy out of touch refuses", CORE + "customer/quota_ledger.cpp", "    if (isInTouch(now)) {\n        const double needed", "    if (true) {\n        const double needed",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("a proxy out of touch uses the whole rate", CORE + "customer/quota_ledger.cpp", "account.partRate = rate * fraction;", "account.partRate = rate;",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("a taken back permit is lost", CORE + "customer/quota_ledger.cpp", "found->second.part += 1;", "(void)found;",
     "core_test", "QuotaLedger*:*QuotaReports*-*StaysInTouch*"),
    ("a stream goes on at the recorded version although its row names another", CORE + "queries/stream_versions_query.cpp", "return it == recorded.front();", "return true;",
     "core_test", "*StreamOriginOf*"),
    ("a version doesn't count once its servers have left", CORE + "queries/stream_versions_query.cpp", "!it.leftAt || storeTime - *it.leftAt < StreamVersionLifetime", "!it.leftAt",
     "core_test", "StreamVersions*"),
    ("what the owner has granted doesn't count", CORE + "queries/stream_versions_query.cpp", "if (known.hasOwner && !known.owner) {", "if (false) {",
     "core_test", "*StreamOriginOf*"),
    ("a version that is listed again stays ended", CORE + "commands/stream_versions_cmd.cpp", "it.leftAt.reset();", "(void)it;",
     "core_test", "StreamVersions*"),
    ("an owner grants without a lease", CORE + "budget/budget_owners.cpp", "now - *state.leaseStart < BudgetLease",
     "true", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a partition is taken over at once", CORE + "budget/budget_owners.cpp", "row.owner.empty() || isFormerOwnRow(row) || now - partition.shownAt >= BudgetTakeoverTime;",
     "true;", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a partition is taken over within the lease", CORE + "budget/budget_owners.cpp", "row.owner.empty() || isFormerOwnRow(row) || now - partition.shownAt >= BudgetTakeoverTime;",
     "row.owner.empty() || isFormerOwnRow(row) || now - partition.shownAt >= BudgetTakeoverTime / 4;", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a successor grants at once", CORE + "budget/budget_owners.cpp", "pending->isQuarantined ? shownAt + OutageShareQuarantine : TimePoint()",
     "TimePoint()", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("an owner that has granted hands over as clean", CORE + "budget/budget_owners.cpp", "(!partition.lastUse || now - *partition.lastUse >= OutageShareQuarantine)",
     "true", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("an owner in quarantine hands over as clean", CORE + "budget/budget_owners.cpp", "return now >= partition.quarantineEnd && ",
     "return ", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a lease begins at the last attempt", CORE + "budget/budget_owners.cpp", "    partition.renewedAt = now;\n",
     "    partition.renewedAt = now;\n    partition.pending->startedAt = now;\n", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("an owner grants while it hands over", CORE + "budget/budget_owners.cpp", "|| state.isGivingUp || m_isStopping ||",
     "||", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a restarted process goes on as the owner", CORE + "budget/budget_owners.cpp", "return row.owner == m_self && row.incarnation == m_incarnation;",
     "return row.owner == m_self;", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a grant that a restarted proxy lost counts as recorded", CORE + "budget/obtained_grants.cpp", "m_latestStart < it.formerLedger.seenVersion", "true",
     "core_test", "OutageShare*"),
    ("a grant is used after its partition was told", CORE + "budget/obtained_grants.cpp", "return requestedAt <= m_testifiedAt.at(partition);", "return false;",
     "core_test", "ObtainedGrants*"),
    ("the grants of a former owner aren't adopted", CORE + "budget/outage_share.cpp", "        m_withTurns.insert(it.program);\n    }\n    return haveAllRoom;",
     "        program->turns.erase(it.turn);\n    }\n    return haveAllRoom;", "core_test", "OutageShare*"),
    ("an owner that doesn't know former grants records that it does", CORE + "budget/budget_owners.cpp", "if (!isKnown || !turns) {", "if (!turns) {",
     "core_test", "OutageShare*"),
    ("an owner's grants to itself need no witness", CORE + "budget/budget_owners.cpp", "return state.row.ledger.hasWitnesses || ", "return false && state.row.ledger.hasWitnesses || ",
     "core_test", "OutageShare*"),
    ("a write without a mark wasn't executed, also by rows without marks", CORE + "commands/token_ledger_cmd.cpp",
     "const bool isMarked = row.markedSince && *row.markedSince <= write.row.version;", "const bool isMarked = true;", "core_test", "*TokenReturnOutcome*"),
    ("marks aren't read", CORE + "commands/token_ledger_cmd.cpp", "mark->second == markOf(write.row.writer)", "mark->second.empty()", "core_test", "*LostWrite*"),
    ("a mark of an earlier write counts", CORE + "commands/token_ledger_cmd.cpp", "mark->second == markOf(write.row.writer)", "true", "core_test", "*LostWrite*:TokenLedgerProperty*"),
    ("a row is resolved while its write is under way", CORE + "commands/token_ledger_cmd.cpp", "(account.openWrite && account.isWriting)", "false", "core_test", "TokenLedger*"),
    ("a closed share is granted", CORE + "budget/outage_share.cpp", "if (program->isClosed || ",
     "if (", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a grant leaves its owner clean", CORE + "budget/budget_owners.cpp", "    if (std::holds_alternative<OutageGranted>(answer)) {\n        owners.recordUse", "    if (false) {\n        owners.recordUse",
     "core_test", "OutageShare*"),
    ("a closing leaves its owner clean", CORE + "budget/budget_owners.cpp", "    if (std::holds_alternative<OutageClosed>(answer)) {\n        owners.recordUse", "    if (false) {\n        owners.recordUse",
     "core_test", "OutageShare*"),
    ("an unused grant isn't reported", PROXY + "exchange_outage.cpp", "        m_proxy.outage.report(turn->owner,", "        (void)used;\n        if (false) m_proxy.outage.report(turn->owner,", "proxy_test", "ProxyOutage*"),
    ("a stream of an owner is resumed by the row alone", PROXY + "exchange.cpp", "    if (m_proxy.outage.isOn() && hasTokenBudget()) {", "    if (false) {", "proxy_test", "ProxyOutage*"),
    ("a turn of a stored conversation begins without the store", PROXY + "exchange_outage.cpp", "&& !m_route.storesConversation ", "", "proxy_test", "ProxyOutage*"),
    ("an owner that isn't asked lets a program be refused", PROXY + "proxy_rows.cpp", "self->ledger.onShareClosed(program, tokens, now());", "self->ledger.onShareClosed(program, tokens.value_or(1U << 30U), now());", "proxy_test", "ProxyOutage*"),
    ("a share is granted beyond its size", CORE + "budget/outage_share.cpp", "const bool fits = granted <= share && request.maxTokens <= share - granted;",
     "const bool fits = granted <= share;", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a successor grants in quarantine", CORE + "budget/outage_share.cpp", "    if (right == OwnerRight::Quarantined) {\n        return OutageShareSpent{};\n    }\n",
     "", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a later report counts again", CORE + "budget/outage_share.cpp", "it->second.isReported ? it->second.tokens : std::min",
     "std::min", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a share is closed while turns run", CORE + "budget/outage_share.cpp", "return it.second.isReported || now >= it.second.endsBy;",
     "return true;", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a share is closed in quarantine", CORE + "budget/outage_share.cpp", "if (right != OwnerRight::Full) {\n        return right",
     "if (right == OwnerRight::None) {\n        return right", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("the row holds both shares", CORE + "commands/token_ledger_cmd.cpp", "request.budget - secondShare(request.budget, m_secondSharePercent), request.maxTokens, true",
     "request.budget, request.maxTokens, true", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("the row holds two turns beyond the first share", CORE + "commands/token_ledger_cmd.cpp", "m_secondSharePercent), request.maxTokens, true",
     "m_secondSharePercent), 2 * request.maxTokens, true", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("granted tokens aren't taken from the row", CORE + "commands/token_ledger_cmd.cpp", "request.budget - std::min(request.budget, closed.value_or(0))",
     "request.budget", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("a refusal before the share is closed", CORE + "commands/token_ledger_cmd.cpp", "if (most.needsClosing && ",
     "if (false && ", "core_test", "OutageShare*:*BudgetHandOver*:BudgetOwners*"),
    ("used tokens are given back", CORE + "commands/token_ledger_cmd.cpp", "account.available += maxTokens - used;", "account.available += maxTokens;",
     "core_test", "TokenLedgerProperty*"),
    ("tokens of a removed row stay", CORE + "commands/token_ledger_cmd.cpp", "        account.available = 0;\n", "", "core_test", "TokenLedger*"),
    ("old tokens need no new write", CORE + "commands/token_ledger_cmd.cpp", "account.available >= request.maxTokens && !isStale", "account.available >= request.maxTokens",
     "core_test", "TokenLedger*"),
    ("tokens go back twice", CORE + "commands/token_ledger_cmd.cpp", "if (!account.isReturnUncertain) {", "if (true) {", "core_test", "*TokenReturnOutcome*"),
    ("tokens of turns in progress go back", CORE + "commands/token_ledger_cmd.cpp", "canReturn(account) && account.openTurns == 0", "canReturn(account)", "core_test", "TokenLedger*"),
    ("tokens stay after they went back", CORE + "commands/token_ledger_cmd.cpp", "std::exchange(account.available, 0);", "account.available;", "core_test", "*Token*"),
    ("an old row refuses a turn", CORE + "commands/token_ledger_cmd.cpp", "    if (account.confirmedAt < request.arrivedAt) {", "    if (false) {", "core_test", "TokenLedger*"),
    ("a budget is exhausted while others may give tokens back", CORE + "commands/token_ledger_cmd.cpp", "if (isShared(account) && !haveAllReplied && now < settledAt) {", "if (false) {",
     "core_test", "TokenLedger*"),
    ("other holders aren't asked", CORE + "commands/token_ledger_cmd.cpp", "account.askedAt < request.arrivedAt && !holders.empty()", "false", "core_test", "TokenLedgerProperty*"),
    ("a row forgets earlier holders", CORE + "commands/token_ledger_cmd.cpp", "std::vector<std::string> holders = row.holders;", "std::vector<std::string> holders;", "core_test", "TokenLedgerProperty*"),
    ("a proxy keeps what it is asked for", PROXY + "proxy_rows.cpp", "if (!ledger.holdsTokens(program)) {", "if (true) {", "proxy_test", "*ProxyHolder*"),
    ("a late request is taken though it may not end in time", CORE + "queries/planned_stop_query.cpp", "|| limitAt <= *m_begunAt + m_settings.limit;", "|| true;",
     "core_test", "*StopRequests*"),
    ("the stop doesn't use its grace period", CORE + "queries/planned_stop_query.cpp", "    settings.limit = std::max(gracePeriod - StopExitTime, gracePeriod / MaxExitShare);\n", "",
     "core_test", "*StopGrace*"),
    ("requests at the limit of a stop get no response", PROXY + "proxy_state.cpp", "exchange->onStopLimit();", "(void)exchange;", "proxy_test", "*ProxyStopLimit*"),
    ("a connection stays open after its response in a stop", PROXY + "client_session.cpp", " || (m_in.empty() && !m_handler.keepsConnections())", "",
     "proxy_test", "ProxyStop.*"),
    ("a call that may not be repeated is repeated", CORE + "queries/retry_policy_query.cpp", "isRepeatable(history.repetition) && history", "history",
     "core_test", "RetryPolicyProperty*"),
    ("more attempts than allowed", CORE + "queries/retry_policy_query.cpp", "history.mayHaveRun < history.maxAttempts", "true",
     "core_test", "RetryPolicy*"),
    ("not run is said of what may have run", CORE + "queries/retry_policy_query.cpp", "return cannotHaveRun ? NextStep::AnswerNotRun", "return true ? NextStep::AnswerNotRun",
     "core_test", "RetryPolicyProperty*"),
    ("a second head in an answer", CORE + "queries/retry_policy_query.cpp", "const bool canContinue = !history.hasBegunAnswer || history.canResume;", "const bool canContinue = true;",
     "core_test", "RetryPolicy*"),
    ("configuration goes backwards", CORE + "commands/route_table_cmd.cpp", "if (m_isLoaded && config.version <= m_config.version) {", "if (false) {",
     "core_test", "RouteTableProperty*"),
    ("shortest prefix first", CORE + "commands/route_table_cmd.cpp", "prefix.size() > m_config", "prefix.size() < m_config", "core_test", "RouteFind*:*RouteFind*"),
    ("draining servers are used", "packages/core/include/vanillahall/core/server_registry_base.h", " && !server.isDraining;", ";", "core_test", "*ServerRegistryProperty*"),
    ("servers that are gone are used", "packages/core/include/vanillahall/core/server_registry_base.h", "return !isUnlisted && !hasLostAddress", "return !hasLostAddress",
     "core_test", "*ServerRegistryProperty*"),
    ("an event comes twice after a resume", PROXY + "event_splitter.cpp", "*id <= *after", "*id < *after", "proxy_test", "*EventSplitter*:*ProxyStream*"),
    ("a torn event is passed on", PROXY + "event_splitter.cpp", "    m_partialEvent.erase(0, begin);\n    return events;", "    events.bytes += m_partialEvent.substr(begin);\n    m_partialEvent.clear();\n    return events;",
     "proxy_test", "*EventSplitter*:*ProxyStream*"),
    ("a stream without its end looks whole", PROXY + "exchange_end.cpp", "m_session->abortResponse(m_hasBegunAnswer && m_request.isHttp10 && !m_head.length);",
     "m_session->write(LastChunk);\n        m_session->finish(false);", "proxy_test", "*ProxyStream*"),
    ("an unsigned answer is a success", PROXY + "exchange_answer.cpp", "isSuccess(head.status) && (!attributes.isSigned || !matchesRequest)", "false", "proxy_test", "*ProxyAnswer*"),
    ("a server's plain 503 is a promise", PROXY + "exchange_answer.cpp", "    if (isNotRunStatus(head.status)) {", "    if (false) {", "proxy_test", "*ProxyAnswer*"),
    ("changes of a table are not removed", PROXY + "table_replica.cpp", "if (it.isRemoved) {", "if (false) {", "proxy_test", "*TableReplica*:*ProxyWatch*"),
    ("an older table is taken", PROXY + "table_replica.cpp", "if (table.version < m_version) {", "if (false) {", "proxy_test", "*TableReplica*"),
    ("a failed watch just goes on", PROXY + "table_watcher.cpp", "    m_proxy.onStoreFailure(reply && reply->status != StatusOk ? \"status \" + std::to_string(reply->status) : ec.message);\n    readAll();",
     "    scheduleStep(ChangeInterval);", "proxy_test", "*ProxyWatch*"),
    ("a program's home follows each writer", CORE + "commands/token_ledger_cmd.cpp", "    if (write.row.version == 0) {\n", "    {\n", "core_test", "TokenLedger*"),
    ("a home outside its zone", CORE + "placement/server_index.cpp", "        if (suitable.position) {\n            return suitable.position;\n        }\n", "", "core_test", "ServerRegistry*"),
    ("a deaf watch is never checked", PROXY + "table_watcher.cpp", "|| now() >= m_checkAt ", "", "proxy_test", "*ProxyWatch*"),
    ("404 of a turn though one place didn't answer", CORE + "commands/conversation_turn_cmd.cpp", "const bool isCertain = m_uncertain.count(location.id) == 0;",
     "const bool isCertain = true;", "core_test", "Conversation*:*ConversationLookup*"),
    ("404 of a turn after its first place", CORE + "commands/conversation_turn_cmd.cpp", "TurnStep ConversationTurn::onTurnMissing(const TurnLocation &location)\n{\n    if (location.copy + 1 < TurnCopies) {",
     "TurnStep ConversationTurn::onTurnMissing(const TurnLocation &location)\n{\n    if (false) {", "core_test", "ConversationProperty*"),
    ("a turn is kept before its last row is", CORE + "commands/conversation_turn_cmd.cpp", "if (!m_pendingWrites.empty() || m_isStored) {", "if (m_isStored) {",
     "core_test", "Conversation*"),
    ("a failed write counts as done", CORE + "commands/conversation_turn_cmd.cpp", "TurnStep ConversationTurn::onWriteFailed(const TurnLocation &location)\n{",
     "TurnStep ConversationTurn::onWriteFailed(const TurnLocation &location)\n{\n    if (!m_pendingWrites.empty()) {\n        return onWritten(location);\n    }", "core_test", "ConversationProperty*"),
    ("old bases are not written again", CORE + "commands/conversation_turn_cmd.cpp", "if (base->retainedUntilMs < neededUntil) {", "if (false) {",
     "core_test", "Conversation*"),
    ("a base is forgotten", CORE + "commands/conversation_turn_cmd.cpp", "            turn->bases.push_back(before.id);\n", "", "core_test", "ConversationProperty*"),
    ("a turn is known before it is kept", CORE + "commands/conversation_turn_cmd.cpp", "        m_writtenRows.push_back(std::move(it->second));\n",
     "        m_cache.put(it->second);\n        m_writtenRows.push_back(std::move(it->second));\n", "core_test", "Conversation*"),
    ("a learnt token row replaces a newer one", CORE + "commands/token_ledger_cmd.cpp", "if (account.openWrite || row.version <= account.row.version) {", "if (account.openWrite) {",
     "core_test", "TokenLedger*"),
    ("an answer ends before its turn is kept", PROXY + "exchange_answer.cpp", "if (!m_conversation || !isSuccess(m_head.status)) {", "if (true) {",
     "proxy_test", "ProxyConversation*"),
    ("an unfinished turn stays", PROXY + "conversation.cpp", "if (m_isComplete || m_writes == 0 || m_openWrites != 0) {", "if (true) {", "proxy_test", "ProxyConversation*"),
    ("turns that were written again are removed", "platform/src/wire_turn.cpp", "        expected.push_back(std::move(condition));\n", "", "proxy_test", "ProxyConversation*"),
    ("endless bytes of a server are kept", PROXY + "server_connection.cpp", "m_in.size() > MaxResponseHeadBytes) {\n        rejectResponse(\"unparsed", "false) {\n        rejectResponse(\"unparsed",
     "proxy_test", "*ProxyEndless*"),
    ("endless interim heads are read", PROXY + "server_connection.cpp", "    m_skippedBytes += n;\n", "", "proxy_test", "*ProxyEndless*"),
    ("a server's rate limit is not kept", CORE + "queries/server_registry_query.cpp", "return state.rateLimit.nextSlot(m_position, now) <= now ? std::string_view() : \"rate_limit\";", "return {};", "core_test", "*ServerRateLimits*"),
    ("each proxy takes the whole rate limit", CORE + "queries/server_rate_limit_query.cpp", "const Seconds cycle(position.proxies / rate);", "const Seconds cycle(1 / rate);",
     "core_test", "*ServerRateLimits*"),
    ("unused slots don't expire", CORE + "queries/server_rate_limit_query.cpp", "constexpr Seconds SlotLifetime{1.5};", "constexpr Seconds SlotLifetime{1500};", "core_test", "*ServerRateLimits*"),
    ("slots that move are used twice", CORE + "queries/server_rate_limit_query.cpp", "constexpr double MinSpacing = 0.8;", "constexpr double MinSpacing = 0;", "core_test", "*ServerRateLimits*"),
    ("a late answer ends a rate limit", CORE + "commands/server_registry_cmd.cpp", "if (!rate && sentAt < state.rateLimitAt) {", "if (false) {", "core_test", "HomeOfLimitedServers*"),
    ("programs have their home at limited servers", CORE + "queries/server_registry_query.cpp", "state.rateLimit.rate() ? HomeSuitability::Limited : HomeSuitability::Suitable;", "HomeSuitability::Suitable;",
     "core_test", "HomeOfLimitedServers*"),
    ("an outage ends all other proxies", CORE + "commands/proxy_membership_cmd.cpp", "state.countedUntil += outage;", "", "core_test", "ProxyMembership*"),
    ("ready without a configuration", PROXY + "proxy_state.cpp", "return routes.isLoaded() && m_serversReadAt", "return m_serversReadAt", "proxy_test", "ProxyStart*"),
    ("a record of a crash is written once", CORE + "commands/crash_tracker_cmd.cpp", "return isStored || it.isObsolete;", "return true;", "core_test", "*CrashSharing*"),
    ("each crash is a write of its own", CORE + "commands/crash_tracker_cmd.cpp", "m_sharing = std::min(m_unshared.size(), MaxSharedCrashes);", "m_sharing = 1;", "core_test", "*CrashSharing*"),
    ("the store's return is not used", CORE + "commands/crash_tracker_cmd.cpp", "void CrashTracker::onStoreBack(TimePoint now)\n{\n    m_nextShareAt = now;\n", "void CrashTracker::onStoreBack(TimePoint now)\n{\n    (void)now;\n", "core_test", "*CrashSharing*"),
    ("crashes are checked on arrival only", PROXY + "exchange.cpp", "if (!confirmCustomer() || refuseQuarantined()) {", "if (!confirmCustomer()) {", "proxy_test", "*ProxyCrash*"),
    ("an error shows that a content is harmless", PROXY + "exchange_answer.cpp", "if (isSuccess(m_head.status) && !m_endsWithConnection) {", "if (!m_endsWithConnection) {", "proxy_test", "*ProxyCrash*"),
    ("the end of a connection shows that a content is harmless", PROXY + "exchange_answer.cpp", "if (isSuccess(m_head.status) && !m_endsWithConnection) {", "if (isSuccess(m_head.status)) {", "proxy_test", "*ProxyCrash*"),
    ("a stream that ends inside an event counts as complete", PROXY + "exchange_answer.cpp", "!rest.empty() && m_endsWithConnection", "!rest.empty() && m_head.endsWithConnection", "proxy_test", "*ProxyStream*"),
    ("a stream that ends inside an event is no crash", PROXY + "exchange_answer.cpp", "onAttemptBroken(\"stream ended inside an event\");", "onAttemptFailed(AttemptFailure::Broken, \"stream ended inside an event\");", "proxy_test", "*ProxyCrash*"),
    ("a stream begins at a version that isn't named", CORE + "commands/token_ledger_cmd.cpp", "&& !isStale && isVersionNamed && isConfirmed", "&& !isStale && isConfirmed", "core_test", "*StreamVersions*"),
    ("an old row tells a stream's version", CORE + "commands/token_ledger_cmd.cpp", "&& !isStale && isVersionNamed && isConfirmed", "&& !isStale && isVersionNamed", "core_test", "TokenLedger*"),
    ("versions beyond the limit are forgotten", CORE + "commands/token_ledger_cmd.cpp", "versions.front() = SoftwareVersion();", "", "core_test", "*StreamVersions*"),
    ("a restart with another version goes unnoticed", CORE + "commands/server_registry_cmd.cpp", "a.software() == b.software()", "a.service == b.service", "core_test", "ServerRegistry*"),
    ("the home has another version", CORE + "queries/server_registry_query.cpp", "    if (!hasSoftware(state.server, request.software)) {\n        return HomeSuitability::Unusable;\n    }\n", "", "core_test", "ServerRegistry*"),
    ("servers of other versions are chosen", CORE + "queries/server_registry_query.cpp", "if (!hasSoftware(state.server, request.software)) {\n        return \"software\";", "if (false) {\n        return \"software\";", "core_test", "ServerRegistry*"),
    ("rows of older releases name no version", "platform/src/token_row_json_func.h", "return {Forward::SoftwareVersion()};", "return {};", "platform_test", "*"),
    ("a program of two versions goes on at the first", PROXY + "exchange.cpp", "row->streamVersions.size() == 1 &&", "!row->streamVersions.empty() &&", "proxy_test", "*ProxyResume*"),
    ("a resumed stream of an unknown version goes on", PROXY + "exchange.cpp", "    return false;\n}\n\nbool Exchange::isVersionGone()", "    return true;\n}\n\nbool Exchange::isVersionGone()", "proxy_test", "*ProxyResume*"),
    ("a proxy forgets the streams that it has forwarded", PROXY + "exchange_customer.cpp", "m_origin = m_proxy.streamOrigins.find(keyOf(attributes.resumedRequest));", "", "proxy_test", "*ProxyResume*"),
    ("a proxy goes on at another version itself", PROXY + "exchange_answer.cpp", "        m_origin = m_choice.server.software();\n", "        return;\n", "proxy_test", "*ProxyResume*"),
    ("a stream waits for a version that has left", PROXY + "exchange.cpp", "return m_origin && (m_origin->service", "return false && (m_origin->service", "proxy_test", "*ProxyResume*"),
    ("a stream begins before its version is named", PROXY + "exchange.cpp", "std::find(named.begin(), named.end(), software) == named.end()) {", "false) {", "proxy_test", "*ProxyResume*:*ProxyProgramVersion*"),
    ("a refusal without an id is believed on any connection", PROXY + "exchange_answer.cpp", "if (!matchesRequest && m_connection->isReused()) {", "if (false) {", "proxy_test", "*Refusal*"),
    ("a refused request is sent again on the same connection", PROXY + "exchange.cpp", "m_mayHaveRun > 1 || m_refusedBy.count(choice.server.id) != 0", "m_mayHaveRun > 1", "proxy_test", "*Refusal*"),
    ("leaving servers are used", "packages/core/include/vanillahall/core/server_registry_base.h", " && !isLeaving", "", "core_test", "*LeavingServer*"),
    ("a leaving server is forgotten with its row", CORE + "commands/server_registry_cmd.cpp", "            state.isLeaving = leaving != m_leaving.end() && isSameRun(leaving->second, it);\n", "", "core_test", "*LeavingServer*"),
    ("a restarted server counts as leaving", CORE + "commands/server_registry_cmd.cpp", "leaving != m_leaving.end() && isSameRun(leaving->second, it);", "leaving != m_leaving.end();", "core_test", "*LeavingServer*"),
    ("any value of Server-Leaving counts", "platform/src/wire_header.cpp", "attributes.isLeaving || trimmed(value) == \"1\";", "true;", "platform_test", "*Leaving*"),
    ("another server's answer says that a server leaves", PROXY + "exchange_answer.cpp", "if (attributes.isLeaving && head.status != StatusMisdirected) {", "if (attributes.isLeaving) {", "proxy_test", "*Leaving*"),
    ("only refusals say that a server leaves", PROXY + "exchange_answer.cpp", "if (attributes.isLeaving && head.status != StatusMisdirected) {", "if (attributes.isLeaving && attributes.isNotRun) {", "proxy_test", "*Leaving*"),
    ("a crash after the end of an attempt doesn't count", PROXY + "exchange_end.cpp", "    m_proxy.recordAbandonedAttempt(m_choice.server, crashedAttempt(), m_limitAt);\n", "", "proxy_test", "*ProxyAbandoned*"),
    ("servers with abandoned attempts aren't watched", PROXY + "proxy_watch.cpp", "                openWatch(it);\n", "", "proxy_test", "*ProxyAbandoned*"),
    ("a later start of a server is no end", CORE + "commands/abandoned_attempts_cmd.cpp", "if (hasRestarted && !state.hasLeft) {", "if (false) {", "core_test", "*Abandoned*"),
    ("a planned restart is an end", CORE + "commands/abandoned_attempts_cmd.cpp", "if (hasRestarted && !state.hasLeft) {", "if (hasRestarted) {", "core_test", "*Abandoned*"),
    ("a planned end counts", CORE + "commands/abandoned_attempts_cmd.cpp", "result == ConnectResult::Refused && state.hasLeft", "false", "core_test", "*Abandoned*"),
    ("a server without power never ends", CORE + "commands/abandoned_attempts_cmd.cpp", "if (state.isUnlisted && result == ConnectResult::Failed) {", "if (false) {", "core_test", "*Abandoned*"),
    ("a listed server that doesn't respond has ended", CORE + "commands/abandoned_attempts_cmd.cpp", "if (state.isUnlisted && result == ConnectResult::Failed) {", "if (result == ConnectResult::Failed) {", "core_test", "*Abandoned*"),
    ("the end of a server counts however late", CORE + "commands/abandoned_attempts_cmd.cpp", "if (attempt.runsUntil >= runningAfter) {", "if (true) {", "core_test", "*Abandoned*"),
    ("a stop leaves crash records unwritten", PROXY + "proxy_state.cpp", "crashes.unsharedCount() == 0 && !(ledger", "!(ledger", "proxy_test", "ProxyCrash.*"),
    ("ready without the crash records", PROXY + "proxy_state.cpp", " && hasCrashRecords", "", "proxy_test", "*ProxyCrashRead*"),
    ("never ready without the crash records", PROXY + "proxy_state.cpp", "m_areCrashesRead || (m_serversFirstReadAt && now() - *m_serversFirstReadAt > MaxCrashReadWait)", "m_areCrashesRead", "proxy_test", "*ProxyCrashRead*"),
    ("the query is part of a content", CORE + "crash/request_feature.cpp", "target.substr(0, target.find('?'))", "target", "core_test", "*Content*"),
    ("a late success takes crashes back", CORE + "commands/crash_tracker_cmd.cpp", "isLate ? std::vector<CrashRecord>() : removeOwn(isOfContent)", "removeOwn(isOfContent)", "core_test", "CrashTracker*"),
    ("any type continues a stream", PROXY + "exchange_answer.cpp", "if (m_continuesAnswer && (isOtherType || (head.length && !attributes.isEventStream))) {", "if (false) {", "proxy_test", "*ProxyForeignAnswer*"),
    ("any text continues a stream", PROXY + "exchange_answer.cpp", "if (m_continuesAnswer && events.hasOtherText) {", "if (false) {", "proxy_test", "*ProxyForeignAnswer*"),
    ("any rest continues a stream", PROXY + "exchange_answer.cpp", "if (m_continuesAnswer && !rest.empty() && !isNextEvent(rest, m_lastEvent)) {", "if (false) {", "proxy_test", "*ProxyForeignAnswer*"),
    ("an unknown key is refused for good under an old configuration", CORE + "customer/customer_directory.cpp", "standing.isCurrent() ? Identification(UnknownKey{})", "true ? Identification(UnknownKey{})", "core_test", "*CustomerLookup*"),
    ("fail_closed is ignored", CORE + "customer/customer_directory.cpp", "m_settings.failsClosed && standing", "false && standing", "core_test", "*CustomerLookup*"),
    ("removed keys stay valid", CORE + "customer/customer_directory.cpp", "    m_byKey.clear();\n", "", "core_test", "CustomerDirectory*"),
    ("ids reach customers' rows", CORE + "customer/customer_directory.cpp", "prefix.empty() && !ownerOf(id).empty()", "false", "core_test", "OwnedKey*"),
    ("crash records have no owner", CORE + "crash/request_feature.cpp", "owner.empty() ? 0", "true ? 0", "core_test", "OwnedKey*"),
    ("neighbours of a culprit are refused too", CORE + "crash/crash_attribution.cpp", "events.count(m_events[n]) != 0", "false", "core_test", "*Attribution*"),
    ("each broken attempt is a crash", CORE + "crash/crash_attribution.cpp", "m_crashes[it]->earliest < last", "false", "core_test", "*Attribution*:*CrashReplay*"),
    ("servers that end together count fully", CORE + "crash/crash_attribution.cpp", "2 * together[at] > m_endedTogether[it] ?", "true ?", "core_test", "*Attribution*"),
    ("the broadest feature is refused", CORE + "crash/crash_attribution.cpp", "it.feature.kind, it.feature.hash);", "-static_cast<int>(it.feature.kind), it.feature.hash);", "core_test", "*Attribution*"),
    ("features are ranked by chance", CORE + "crash/crash_attribution.cpp", "-static_cast<std::ptrdiff_t>(unexplainedEvents(it).size())", "0", "core_test", "*Attribution*"),
    ("what ran beside more is refused", CORE + "crash/crash_attribution.cpp", "others.size() > events.size() ||", "", "core_test", "*Attribution*"),
    ("a success clears no feature", CORE + "commands/crash_tracker_cmd.cpp", "        m_cleared[it.hash] = now;\n", "", "core_test", "*CrashReplay*"),
    ("a success isn't shared", CORE + "commands/crash_tracker_cmd.cpp", "    if (isNearRefusal) {\n", "    if (false) {\n", "core_test", "*CrashReplay*"),
    ("records are read once", PROXY + "proxy_poll.cpp", "    m_crashWatcher->start();\n", "", "proxy_test", "*ProxyCrash*"),
    ("a path includes the program", CORE + "crash/request_feature.cpp", "contentHash(source.method, source.target, {}, {}, source.owner)", "contentHash(source.method, source.target, source.program, {}, source.owner)", "proxy_test", "*ProxyCrashVariation*"),
    ("an invalid status is a crash", PROXY + "exchange_end.cpp", "        m_failure = AttemptFailure::BadAnswer;\n    }\n    onAttemptBroken(failure.message);", "    }\n    onAttemptBroken(failure.message);", "proxy_test", "*ProxyStatus*"),
    ("a key of two customers", "platform/src/wire_customer.cpp", "expected.empty() && owner != n", "false", "platform_test", "*Customers*"),
    ("line breaks in names", "platform/src/wire_customer.cpp", " && !hasControl", "", "platform_test", "*Customers*"),
    ("one of two keys counts", PROXY + "exchange_customer.cpp", "attributes.keyHeaders == 1 ?", "attributes.keyHeaders != 0 ?", "proxy_test", "*ProxyKey*:ProxyCustomer*"),
    ("keys are not checked again", PROXY + "exchange.cpp", "if (!confirmCustomer() || refuseQuarantined())", "if (refuseQuarantined())", "proxy_test", "*ProxyKey*:ProxyCustomer*"),
    ("a moved request that may have run starts again", PROXY + "exchange_customer.cpp", "    if (m_mayHaveRun != 0) {\n        answer(StatusBadGateway, std::nullopt, Outcome::KeyMoved);", "    if (false) {\n        answer(StatusBadGateway, std::nullopt, Outcome::KeyMoved);", "proxy_test", "*ProxyKey*:ProxyCustomer*"),
    ("a request that may have run is refused as not run", PROXY + "exchange_customer.cpp", "    if (m_mayHaveRun != 0) {\n        answer(StatusBadGateway, std::nullopt, refusal->outcome);", "    if (false) {\n        answer(StatusBadGateway, std::nullopt, refusal->outcome);", "proxy_test", "*ProxyKey*:ProxyCustomer*"),
    ("a refused version counts as current", PROXY + "proxy_config.cpp", "m_hasUnreadableConfig = !config;", "", "proxy_test", "*ProxyKey*:ProxyCustomer*"),
    ("customers share rows", PROXY + "exchange_customer.cpp", "hasCustomers() ? ownedKey(m_ownerPrefix, id) : id", "hasCustomers() ? id : id", "proxy_test", "*ProxyKey*:ProxyCustomer*"),
    ("keys are forwarded", PROXY + "exchange.cpp", "} else if (!m_proxy.customers.hasCustomers()) {", "} else {", "proxy_test", "*ProxyKey*:ProxyCustomer*"),
    ("a fourth figure hides the load of a server", "platform/src/wire_header.cpp", "    if (!counts[0] || !counts[1] || !counts[2]) {", "    if (!counts[0] || !counts[1] || !counts[2] || n > Counts) {", "platform_test", "*LoadHeader*"),
    ("an absurd slowdown is believed", "platform/src/wire_header.cpp", "percent && *percent >= MinPercent && *percent <= MaxPercent;", "percent.has_value();", "platform_test", "*LoadHeader*"),
    ("customers of a route are alike", CORE + "placement/work_estimator.cpp", "customer == nullptr ? result :", "true ? result :", "core_test", "*WorkEstimator*"),
    ("hints are believed", CORE + "placement/work_estimator.cpp", "hinted * kind.hintRatio.mean();", "hinted;", "core_test", "*WorkEstimator*"),
    ("kinds are never forgotten", CORE + "placement/work_estimator.cpp", "if (m_kinds.size() > MaxWorkKinds) {", "if (false) {", "core_test", "PlacementMemory*"),
    ("objects are never forgotten", CORE + "placement/object_directory.cpp", "if (m_objects.size() > MaxObjects) {", "if (false) {", "core_test", "PlacementMemory*"),
    ("a report of a server counts for ever", CORE + "placement/server_backlog.cpp", "m_hasReport ? std::exp(-std::max(0.0, Milliseconds(now - m_reportedAt) / life)) : 0;", "1.0;", "core_test", "ServerBacklogReports*"),
    ("a reported slowdown counts for ever", CORE + "placement/server_backlog.cpp", "(m_slowdown - 1) * std::exp(-age)", "(m_slowdown - 1)", "core_test", "ServerBacklogReports*"),
    ("a pace outlives a restart", CORE + "placement/server_backlog.cpp", "    *this = fresh;\n", "", "core_test", "ServerBacklogReports*"),
    ("the paces of equal servers are trusted", CORE + "placement/server_backlog.cpp", "std::clamp(m_paceCovariance / (m_paceVariance + Prior), 0.0, 1.0);", "1.0;", "core_test", "*ServiceUsualPace*"),
    ("objects are spread", CORE + "placement/server_choice.cpp", "        terms.savedMs = m_objects.saving() * lookup.work.hold.count() * view.slowness;\n", "", "core_test", "*StickyObjects*"),
    ("draining servers are candidates", CORE + "queries/server_registry_query.cpp", "if (!state.isUsable()) {\n        return state.isLeaving", "if (false) {\n        return state.isLeaving", "core_test", "*Server*"),
    ("a preview of a permit knows no reports", CORE + "customer/quota_preview.cpp", "    trial.m_readAt = m_readAt;\n", "", "core_test", "*Previews*"),
    ("a preview of admission forgets refusals", CORE + "admission/admission_preview.cpp", "trial.m_programs.emplace(request.program, state);", "(void)state;", "core_test", "*Previews*"),
    ("anyone is an operator", PROXY + "operator_listener.cpp", "    if (request.isFromLoopback) {", "    if (true) {", "proxy_test", "*OperatorRequest*"),
    ("a program in progress is refused", CORE + "admission/program_admission.cpp", "if (request.isTurn && request.mayBeNew && !isSeen) {", "if (request.isTurn && !isSeen) {",
     "core_test", "*Admission*"),
    ("a returning program has no credit", CORE + "admission/program_admission.cpp", "const double debt = hasPrecedence ?", "const double debt = false ?", "core_test", "ProgramAdmission.*"),
    ("a loop keeps its precedence", CORE + "admission/program_admission.cpp", "return it->second.turns > LoopFactor * usual;", "return false;", "core_test", "ProgramAdmission.*"),
    ("programs without a chance are admitted", CORE + "admission/program_admission.cpp", "if (state.latest && now + needed > *state.latest) {", "if (false) {", "core_test", "*Admission*"),
    ("a surge takes the room of others", CORE + "admission/program_admission.cpp", "if (saturation.isBusy && !saturation.isSaturated &&", "if (false &&", "core_test", "OverloadReplay.*"),
    ("retry delays are equal", CORE + "admission/retry_delay.cpp", "fraction(program));", "0.5);", "core_test", "RetryDelay.*"),
    ("the oldest request waits for ever", CORE + "admission/request_order.cpp", "m_servedCount % OldestInterval == OldestInterval - 1", "false", "core_test", "RequestOrder.*"),
    ("saturation flickers", CORE + "admission/saturation_monitor.cpp", "view.isSaturated ? !leaves : enters;", "enters;", "core_test", "SaturationMonitor.*"),
    ("admission is always on", PROXY + "overload_control.cpp", "return settings.restrictsAdmission || customers.hasCustomers();", "return true;", "proxy_test", "ProxyOverload.*"),
    ("new programs are admitted to full servers", PROXY + "exchange_overload.cpp", "        answerOverloaded(refused->retryAfter);\n        return true;", "        return false;",
     "proxy_test", "ProxyOverload.*"),
]


def run(command, cwd, log=None):
    done = subprocess.run(command, cwd=cwd, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False)
    if log:
        log.write_text(done.stdout)
    return done


def copy_tree(root, tree):
    """Copies what git knows and what is new; leaves files alone that are the same, so that a second run builds little."""
    names = run(["git", "ls-files", "-co", "--exclude-standard", "--", ":!journal"], root).stdout.split()
    for name in names:
        source, target = root / name, tree / name
        if not source.is_file() or (target.is_file() and target.read_bytes() == source.read_bytes()):
            continue
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(source, target)


def check(tree, mutant):
    """Builds and tests one mutant. Returns (result text, whether the mutant was caught)."""
    _, source, text, replacement, program, tests = mutant
    path = tree / source
    original = path.read_text()
    if original.count(text) != 1:
        return "DOES NOT APPLY: the text stands " + str(original.count(text)) + " times in " + source, False
    path.write_text(original.replace(text, replacement))
    try:
        if run(["cmake", "--build", "build", "--target", program], tree, tree / "build.log").returncode != 0:
            return "DOES NOT BUILD, see " + str(tree / "build.log"), False
        done = run(["env", "RC_PARAMS=seed=20261204 max_success=1000", "build/tests/" + program, "--gtest_filter=" + tests], tree)
        failed = sorted(set(re.findall(r"\[  FAILED  \] ([\w/]+\.[\w/]+)", done.stdout)))
        if done.returncode == 0:
            return "NOT CAUGHT", False
        return "caught by " + (", ".join(failed[:3]) or "a crash"), True
    finally:
        path.write_text(original)


def main():
    root = pathlib.Path(__file__).resolve().parent.parent
    tree = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else pathlib.Path(tempfile.mkdtemp(prefix="vanillahall-mutants-"))
    wanted = [it for it in MUTANTS if len(sys.argv) < 3 or sys.argv[2] in it[0] or sys.argv[2] in it[1]]
    copy_tree(root, tree)
    programs = sorted({it[4] for it in wanted})
    run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja", "-DCMAKE_BUILD_TYPE=Debug"], tree)
    if run(["cmake", "--build", "build", "--target", *programs], tree, tree / "build.log").returncode != 0:
        print("the tree doesn't build, see " + str(tree / "build.log"))
        return 1
    bad = 0
    for mutant in wanted:
        result, good = check(tree, mutant)
        bad += not good
        print(mutant[0] + ": " + result, flush=True)
    print(f"{len(wanted) - bad} of {len(wanted)} mutants caught")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
