#include "vanillahall/core/admission/program_admission_base.h"

#include "vanillahall/core/admission/retry_delay_func.h"

namespace Vanillahall::Forward {

namespace {

constexpr Duration TurnCountHalfLife = std::chrono::seconds(30); ///< Several times the usual duration of a program.
constexpr Duration AdmittedHalfLife = std::chrono::seconds(2);   ///< Shorter than a burst, so that shares are corrected within it.
constexpr Duration DemandHalfLife = std::chrono::seconds(120);   ///< Much longer than a surge, which must not raise its own share.
constexpr Duration ReturningHalfLife = std::chrono::seconds(1);  ///< Usual retry delay.
constexpr double UsualTurns = 3;                                 ///< Turns per program until some were seen.
constexpr double UsualTurnsWeight = 2;                           ///< Programs for which UsualTurns counts.
constexpr double DrainFactor
    = 1.1;                      ///< Share of the measured rate that new programs get. The rate is too low while late programs are deferred.
constexpr double MinRate = 1.5; ///< Turns per second for which programs are admitted even if no turn has ended lately.
constexpr double RoomSeconds = 0.5;       ///< Room that can be saved up, in seconds at the rate.
constexpr double MinRoom = 6;             ///< Least room that can be saved up, in turns: two short programs.
constexpr double DebtSeconds = 1;         ///< Room that returning programs may use in advance, in seconds at the rate.
constexpr double IdleShare = 2.0 / 3;     ///< Part of its time that a program needs at idle servers, if its client plans for some waiting.
constexpr double FreshAllowance = 1.1;    ///< Limit on the level of a customer, relative to that of its rank.
constexpr double ReturnedAllowance = 1.4; ///< The same for programs that were refused before; a second refusal costs more.
constexpr double LowerRankShare = 0.5;    ///< A lower rank gets room while its level is below this part of the better ranks' level. All
                                          ///< customers must be served at least a quarter as often as the others.
constexpr double MinDemand = 0.05;        ///< Customers with less recent demand may be forgotten.

} // namespace

std::string_view admissionName(AdmissionBasis basis)
{
    switch (basis) {
    case AdmissionBasis::InProgress:
        return "in_progress";
    case AdmissionBasis::NotSaturated:
        return "not_saturated";
    case AdmissionBasis::Room:
        return "room";
    case AdmissionBasis::Returned:
        return "returned";
    case AdmissionBasis::LastChance:
        return "last_chance";
    }
    return "unnamed";
}

std::string_view admissionName(AdmissionRefusal reason)
{
    switch (reason) {
    case AdmissionRefusal::Full:
        return "full";
    case AdmissionRefusal::CustomerShare:
        return "customer_share";
    case AdmissionRefusal::ChanceGone:
        return "chance_gone";
    case AdmissionRefusal::Looping:
        return "looping";
    }
    return "unnamed";
}

ProgramAdmission::Pool::Pool()
    : returning(ReturningHalfLife)
    , ranks{Share{DecayingCount(AdmittedHalfLife), DecayingCount(DemandHalfLife)},
            Share{DecayingCount(AdmittedHalfLife), DecayingCount(DemandHalfLife)},
            Share{DecayingCount(AdmittedHalfLife), DecayingCount(DemandHalfLife)},
            Share{DecayingCount(AdmittedHalfLife), DecayingCount(DemandHalfLife)}}
{
}

double ProgramAdmission::TurnCount::perProgram(TimePoint now) const
{
    const double n = (turns.read(now) + UsualTurns * UsualTurnsWeight) / (programs.read(now) + UsualTurnsWeight);
    return std::max(1.0, n);
}

double ProgramAdmission::Share::level(TimePoint now) const
{
    return admitted.read(now) / std::max(MinDemand, demand.read(now));
}

Duration ProgramAdmission::slack(const ProgramRequest &request, const Program &state)
{
    const auto needed = std::chrono::duration_cast<Duration>(state.time * IdleShare);
    return request.programTimeLeft.value_or(request.timeLeft) - needed;
}

ProgramAdmission::Program &ProgramAdmission::program(std::uint64_t id)
{
    const auto it = m_programs.find(id);
    if (it != m_programs.end()) {
        m_programsByUse.splice(m_programsByUse.end(), m_programsByUse, it->second.used);
        return it->second;
    }
    if (m_programs.size() >= MaxAdmissionPrograms) {
        m_programs.erase(m_programsByUse.front());
        m_programsByUse.pop_front();
    }
    m_programsByUse.push_back(id);
    auto &state = m_programs[id];
    state.used = std::prev(m_programsByUse.end());
    return state;
}

double ProgramAdmission::programCost(const ProgramRequest &request, TimePoint now)
{
    return routeCount(request.route).perProgram(now);
}

ProgramAdmission::TurnCount &ProgramAdmission::routeCount(const std::string &route)
{
    return m_routes.try_emplace(route, TurnCount{DecayingCount(TurnCountHalfLife), DecayingCount(TurnCountHalfLife)}).first->second;
}

ProgramAdmission::Share &ProgramAdmission::customerShare(Pool &pool, std::uint64_t customer, TimePoint now)
{
    if (pool.customers.size() >= MaxShareCustomers && pool.customers.count(customer) == 0) {
        std::erase_if(pool.customers, [now](const auto &it) {
            return it.second.demand.read(now) < MinDemand;
        });
        if (pool.customers.size() >= MaxShareCustomers) {
            // The customers beyond the limit share one entry.
            customer = 0;
        }
    }
    const Share empty{DecayingCount(AdmittedHalfLife), DecayingCount(DemandHalfLife)};
    return pool.customers.try_emplace(customer, empty).first->second;
}

bool ProgramAdmission::hasShare(Pool &pool, const CustomerShareKey &customer, double allowance, TimePoint now)
{
    const auto rank = std::min<std::size_t>(customer.rank, MaxRanks - 1);
    const auto &all = pool.ranks.at(rank);
    double betterAdmitted = 0;
    double betterDemand = 0;
    for (std::size_t n = 0; n < rank; n++) {
        betterAdmitted += pool.ranks.at(n).admitted.read(now);
        betterDemand += pool.ranks.at(n).demand.read(now);
    }
    const double betterLevel = betterAdmitted / std::max(MinDemand, betterDemand);
    const bool isLeftOver = pool.room >= std::max(MinRoom, pool.rate * RoomSeconds) / 2;
    if (betterAdmitted >= 1 && !isLeftOver && all.level(now) > LowerRankShare * betterLevel) {
        return false;
    }
    const auto &own = customerShare(pool, customer.id, now);
    const double expected = all.level(now) * own.demand.read(now);
    // The square root allows for chance, which matters for customers with few programs.
    return own.admitted.read(now) <= 1 + allowance * expected + std::sqrt(expected);
}

ProgramAdmission::Pool &ProgramAdmission::refill(const ProgramRequest &request, const SaturationView &saturation, TimePoint now)
{
    auto &pool = m_pools[request.service];
    pool.rate = std::max(MinRate, saturation.turnsPerSecond * DrainFactor);
    const double most = std::max(MinRoom, pool.rate * RoomSeconds);
    const double seconds = std::chrono::duration<double>(now - pool.at).count();
    pool.room = saturation.isSaturated ? std::min(most, pool.room + pool.rate * seconds) : most;
    pool.at = now;
    return pool;
}

AdmissionDecision ProgramAdmission::decide(const ProgramRequest &request, const SaturationView &saturation, TimePoint now)
{
    if (request.program == 0) {
        return ProgramAdmitted{AdmissionBasis::InProgress};
    }
    auto &state = program(request.program);
    const bool isSeen = state.seenAt && now - *state.seenAt <= ProgramMemory;
    if (request.isTurn && request.mayBeNew && !isSeen) {
        return decideNew(request, saturation, state, now);
    }
    if (request.isTurn && saturation.isSaturated && isLooping(request.program, request.route)) {
        auto &pool = refill(request, saturation, now);
        if (pool.room < 1) {
            return refuse(request, state, AdmissionRefusal::Looping, now);
        }
        pool.room--;
    }
    recordTurn(request, state, now);
    return ProgramAdmitted{AdmissionBasis::InProgress};
}

AdmissionDecision
ProgramAdmission::decideNew(const ProgramRequest &request, const SaturationView &saturation, Program &state, TimePoint now)
{
    auto &pool = refill(request, saturation, now);
    const bool isReturned = state.refusedAt && now - *state.refusedAt <= ProgramMemory;
    if (isReturned) {
        pool.returning.add(-std::min(programCost(request, now), pool.returning.read(now)), now);
    } else {
        state.turns = 0;
        state.time = std::max(Duration::zero(), request.programTimeLeft.value_or(Duration::zero()));
        state.latest = state.time > Duration::zero() ? std::optional(now + 2 * state.time) : std::nullopt;
        customerShare(pool, request.customer.id, now).demand.add(1, now);
        pool.ranks.at(std::min<std::size_t>(request.customer.rank, MaxRanks - 1)).demand.add(1, now);
    }
    if (saturation.isBusy && !saturation.isSaturated && !hasShare(pool, request.customer, ReturnedAllowance, now)) {
        // A surge of one customer is held back before the servers are full, so that it doesn't delay the others.
        return refuse(request, state, AdmissionRefusal::CustomerShare, now);
    }
    if (!saturation.isSaturated) {
        return admitNew(request, state, AdmissionBasis::NotSaturated, now);
    }
    const auto needed = std::chrono::duration_cast<Duration>(state.time * IdleShare * saturation.stretch);
    if (state.latest && now + needed > *state.latest) {
        return refuse(request, state, AdmissionRefusal::ChanceGone, now);
    }
    // One that can't end in time any more has a part of its value left, but must not take the place of one that can.
    const bool isLate = state.time > Duration::zero() && slack(request, state) < Duration::zero();
    const bool isLastChance = !canReturn(request.timeLeft);
    const bool hasPrecedence = !isLate && (isReturned || isLastChance);
    if (!hasShare(pool, request.customer, hasPrecedence ? ReturnedAllowance : FreshAllowance, now)) {
        return refuse(request, state, AdmissionRefusal::CustomerShare, now);
    }
    const double debt = hasPrecedence ? std::max(MinRoom, pool.rate * DebtSeconds) : 0;
    const double reserve = isLate ? std::max(MinRoom, pool.rate * RoomSeconds) / 2 : 0;
    // A long program takes the place of several short ones, each of which counts as much.
    const double cost = programCost(request, now);
    if (pool.room + debt - reserve < std::min(cost, std::max(MinRoom, pool.rate * RoomSeconds))) {
        return refuse(request, state, AdmissionRefusal::Full, now);
    }
    pool.room -= cost;
    return admitNew(
        request, state, isReturned ? AdmissionBasis::Returned : (isLastChance ? AdmissionBasis::LastChance : AdmissionBasis::Room), now);
}

AdmissionDecision ProgramAdmission::admitNew(const ProgramRequest &request, Program &state, AdmissionBasis basis, TimePoint now)
{
    auto &pool = m_pools[request.service];
    customerShare(pool, request.customer.id, now).admitted.add(1, now);
    pool.ranks.at(std::min<std::size_t>(request.customer.rank, MaxRanks - 1)).admitted.add(1, now);
    routeCount(request.route).programs.add(1, now);
    recordTurn(request, state, now);
    return ProgramAdmitted{basis};
}

AdmissionDecision ProgramAdmission::refuse(const ProgramRequest &request, Program &state, AdmissionRefusal reason, TimePoint now)
{
    auto &pool = m_pools[request.service];
    const double cost = programCost(request, now);
    const double ahead = std::max(0.0, cost + pool.returning.read(now) - pool.room);
    const auto untilRoom = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / std::max(MinRate, pool.rate)));
    const bool isRepeated = state.refusedAt && now - *state.refusedAt <= ProgramMemory;
    state.refusedAt = now;
    pool.returning.add(cost, now);
    const Duration spare = slack(request, state);
    auto timeLeft = request.timeLeft;
    auto wait = untilRoom;
    if (spare > MinRetryDelay && reason != AdmissionRefusal::CustomerShare) {
        // The program can still end in time if it returns early enough and doesn't have to wait for much longer then.
        timeLeft = std::min(timeLeft, spare);
    } else {
        // A late program competes with nobody's time any more, and a customer's share grows again only as its surge ends: early returns
        // would be refused again.
        wait = std::max(wait, timeLeft / RetryTimeDivisor);
    }
    return ProgramRefused{reason, untilRoom, retryDelay(wait, timeLeft, request.program), isRepeated};
}

void ProgramAdmission::recordTurn(const ProgramRequest &request, Program &state, TimePoint now)
{
    state.seenAt = now;
    if (!request.isTurn) {
        return;
    }
    state.turns++;
    // A loop must not raise what counts as usual.
    if (!isLooping(request.program, request.route)) {
        routeCount(request.route).turns.add(1, now);
    }
}

void ProgramAdmission::withdrawTurn(std::uint64_t program)
{
    const auto it = m_programs.find(program);
    if (it != m_programs.end() && it->second.turns > 0) {
        it->second.turns--;
    }
}

bool ProgramAdmission::isLooping(std::uint64_t program, const std::string &route) const
{
    const auto it = m_programs.find(program);
    if (it == m_programs.end() || it->second.turns <= MinLoopTurns || !it->second.seenAt) {
        return false;
    }
    const auto count = m_routes.find(route);
    const double usual = count == m_routes.end() ? UsualTurns : count->second.perProgram(*it->second.seenAt);
    return it->second.turns > LoopFactor * usual;
}

double ProgramAdmission::expectedTurnsLeft(std::uint64_t program, const std::string &route, TimePoint now) const
{
    const auto it = m_programs.find(program);
    const auto count = m_routes.find(route);
    const double done = it == m_programs.end() || it->second.turns == 0 ? 0 : it->second.turns - 1;
    const double usual = count == m_routes.end() ? UsualTurns : count->second.perProgram(now);
    return std::max(1.0, usual - done);
}

bool ProgramAdmission::isWorthless(std::uint64_t program, TimePoint now) const
{
    const auto it = m_programs.find(program);
    return it != m_programs.end() && it->second.latest && now > *it->second.latest;
}

std::size_t ProgramAdmission::size() const
{
    return m_programs.size();
}

} // namespace Vanillahall::Forward
