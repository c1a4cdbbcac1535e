/** Choice of a server: the least expected time to the end of the request, with the proxy's preferences. */
#include "placement/key_hash_func.h"

#include "vanillahall/core/server_registry_base.h"

#include <algorithm>
#include <cmath>

namespace Vanillahall::Forward {

namespace {

constexpr Duration LoadReportMaxAge = std::chrono::milliseconds(600); ///< Load of other entries that was reported longer ago counts half.
/**
 * Differences up to this share of a request's slot time, divided by the slots, are less than the error of the expected wait: one request of
 * another proxy that isn't known yet. Within them, the key of the request decides, so that proxies with the same view choose differently.
 */
constexpr double SpreadShare = 1.0;
/**
 * Share of a request's own time in a slot that counts against waits. If it counted in full, all proxies would fill the fast servers until
 * the wait there equals the gain; the gain would be lost on the requests that follow.
 */
constexpr double RunShare = 0.25;
/** Share of the preference for the home: learned waits differ less from each other than those by old reports, so less outweighs them. */
constexpr double HomeShare = 0.7;
constexpr std::size_t MaxHolderCandidates = 6; ///< Holders of the prompt that are compared where not all servers are.

/** @return Number from 0 to 1 that is fixed for a key and a server. */
double fraction(std::uint64_t key, std::uint64_t runHash)
{
    constexpr int ShownBits = 53;
    return std::ldexp(static_cast<double>(homeRank(key, runHash) >> (64 - ShownBits)), -ShownBits);
}

} // namespace

bool ServerRegistry::isLearning() const
{
    return m_settings.placement == Placement::Learned;
}

void ServerRegistry::lookUpWork(const ChoiceRequest &request, Lookup &lookup) const
{
    static const ServiceUsual nothingLearned;
    const auto &attributes = *request.attributes;
    const auto usual = m_usual.find(request.service);
    lookup.usual = usual == m_usual.end() || !isLearning() ? &nothingLearned : &usual->second;
    lookup.spreadKey = attributes.requestId.empty() ? lookup.programKey : keyHash(attributes.requestId);
    if (!isLearning()) {
        return;
    }
    auto &features = lookup.features;
    features.kind = {keyHash(request.route), request.customer.empty() ? 0 : keyHash(request.customer)};
    features.isModelTurn = attributes.promptTokens != 0;
    features.hintedTokens = attributes.lengthHint.value_or(0);
    features.maxTokens = attributes.maxGenerated;
    features.tokensPerEvent = std::max(1U, request.tokensPerEvent);
    features.tokensPerMs = lookup.usual->tokensPerMs();
    if (lookup.usualMsPerEvent > 0) {
        features.perEvent = Milliseconds(lookup.usualMsPerEvent);
    }
    lookup.work = m_estimator.estimate(features);
    if (request.isSticky && !attributes.object.empty()) {
        lookup.object = keyHash(attributes.object) ^ keyHash(request.service);
        lookup.holders = m_objects.holders(lookup.object);
        lookup.objectHome = objectHome(request, lookup.object);
    }
}

ServerRegistry::Score
ServerRegistry::score(const ServerState &state, const ChoiceRequest &request, const Lookup &lookup, TimePoint now) const
{
    Score score;
    score.uncached = uncachedTokens(state, lookup, *request.attributes);
    const double slots = std::max(1U, state.server.slots);
    auto &view = score.view;
    if (isLearning()) {
        view = state.backlog.view(*lookup.usual, slots, lookup.work.hold, now);
    } else {
        view.load = (now - state.otherRequestsAt < LoadReportMaxAge ? state.otherRequests : state.otherRequests / 2.0) + state.running;
        view.excess = std::max(0.0, view.load - slots + 1);
        view.wait = view.excess * StartingHold / slots;
    }
    const double prefillMs = (static_cast<double>(state.prefillTokens) + score.uncached) / lookup.usual->tokensPerMs();
    auto &terms = score.terms;
    terms.prefillMs = prefillMs * view.slowness;
    terms.loadMs = view.load * m_settings.perRequestMs;
    terms.waitMs = view.wait.count();
    const double startMs = terms.prefillMs + terms.loadMs + terms.waitMs;
    // The preference for the home was measured against waits for slots that are held for the starting time, and is kept in proportion to
    // them. Faults never count less than there, since their cost doesn't fall with the time of a slot.
    const double confidence = lookup.usual->confidence();
    const double holdRatio = lookup.usual->hold() / StartingHold;
    const double homeScale = 1 + confidence * (HomeShare * holdRatio - 1);
    const double scale = std::max(1.0, holdRatio);
    terms.zoneMs = state.server.zone == m_zone ? 0 : m_settings.crossZoneMs;
    terms.penaltyMs = scale * penaltyMs(state, lookup.usualMsPerEvent, now);
    score.delayMs = startMs + terms.zoneMs + terms.penaltyMs;
    const double runMs = lookup.work.run.count() * view.slowness;
    terms.runMs = RunShare * runMs;
    const bool knowsObject = lookup.object != 0
        && (&state == lookup.objectHome || std::find(lookup.holders.begin(), lookup.holders.end(), state.runHash) != lookup.holders.end());
    if (knowsObject) {
        terms.savedMs = m_objects.saving() * lookup.work.hold.count() * view.slowness;
    }
    score.finishMs = startMs + std::max(0.0, runMs - terms.savedMs);
    // An unused slot expires, while the capacity of the home remains.
    const bool hasBonus = &state == lookup.home || state.rateLimit.rate().has_value();
    terms.homeMs = hasBonus ? homeScale * m_settings.homeBonusMs : 0.0;
    score.weight = score.delayMs + terms.runMs - terms.savedMs - terms.homeMs;
    // Homes spread the programs already.
    if (lookup.home == nullptr && confidence > 0 && view.excess > 0) {
        const double spreadMs = SpreadShare * lookup.usual->hold().count() / slots * std::min(1.0, view.excess);
        terms.spreadMs = confidence * spreadMs * fraction(lookup.spreadKey, state.runHash);
        score.weight += terms.spreadMs;
    }
    return score;
}

bool ServerRegistry::isBetter(const Scored &first, const Scored &second, const Lookup &lookup)
{
    if (first.score.weight != second.score.weight) {
        return first.score.weight < second.score.weight;
    }
    return homeRank(lookup.programKey, first.state->runHash) > homeRank(lookup.programKey, second.state->runHash);
}

ServerRegistry::Scored ServerRegistry::findBest(
    const ServiceServers &service, const ChoiceRequest &request, const Lookup &lookup, TimePoint now, ConsideredList *considered) const
{
    Scored best;
    const auto consider = [&](const ServerState &state) {
        const auto excludedBy = exclusion(state, request, lookup, now);
        if (!excludedBy.empty() && considered == nullptr) {
            return;
        }
        const Scored scored{&state, score(state, request, lookup, now)};
        if (excludedBy.empty() && (best.state == nullptr || isBetter(scored, best, lookup))) {
            best = scored;
        }
        if (considered != nullptr) {
            considered->push_back({scored, excludedBy});
        }
    };
    if (isLearning() && !service.index.isSmall()) {
        for (const auto it : candidates(service, lookup)) {
            consider(*service.servers[it]);
        }
    }
    if (best.state == nullptr) {
        for (const auto *it : service.servers) {
            consider(*it);
        }
    }
    return best;
}

std::vector<std::size_t> ServerRegistry::candidates(const ServiceServers &service, const Lookup &lookup) const
{
    std::vector<std::size_t> positions;
    positions.reserve(2 * MaxComparedServers);
    service.index.draw(lookup.spreadKey, m_zone, positions);
    const auto add = [&](std::uint64_t runHash) {
        if (const auto position = service.index.position(runHash)) {
            positions.push_back(*position);
        }
    };
    // The deepest known part of the prompt saves the most, and the latest holders are the least likely to have dropped it.
    if (!lookup.parts.empty()) {
        const auto &holders = lookup.parts.back()->holders;
        for (std::size_t n = 0; n < std::min(MaxHolderCandidates, holders.size()); n++) {
            add(holders[holders.size() - 1 - n].runHash);
        }
    }
    for (const auto *it : {lookup.home, lookup.objectHome}) {
        if (it != nullptr) {
            add(it->runHash);
        }
    }
    for (const auto it : lookup.holders) {
        add(it);
    }
    return positions;
}

std::optional<Choice> ServerRegistry::choose(const ChoiceRequest &request, TimePoint now) const
{
    const auto *service = serviceServers(request.service);
    if (service == nullptr) {
        return std::nullopt;
    }
    const auto lookup = lookUp(request);
    const auto best = findBest(*service, request, lookup, now, nullptr);
    if (best.state == nullptr) {
        return std::nullopt;
    }
    Choice choice;
    choice.server = best.state->server;
    choice.uncachedTokens = best.score.uncached;
    choice.expectedMs = best.score.delayMs;
    auto &plan = choice.plan;
    plan.features = lookup.features;
    plan.features.uncachedTokens = best.score.uncached;
    plan.estimate = isLearning() ? m_estimator.estimate(plan.features) : WorkEstimate();
    plan.wait = best.score.view.wait;
    plan.finish = Milliseconds(best.score.finishMs);
    plan.slowdown = best.score.view.slowdown;
    plan.hadFreeSlot = best.score.view.excess < 1;
    plan.prefillAhead = best.state->prefillTokens;
    plan.object = lookup.object;
    plan.isObjectKnown
        = lookup.object != 0 && std::find(lookup.holders.begin(), lookup.holders.end(), best.state->runHash) != lookup.holders.end();
    return choice;
}

} // namespace Vanillahall::Forward
