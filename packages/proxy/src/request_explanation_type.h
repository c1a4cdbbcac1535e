/** Explanation of what would happen to a request, step by step. */
#pragma once

#include "vanillahall/core/admission/program_admission_base.h"
#include "vanillahall/core/customer/customer_directory_base.h"
#include "vanillahall/core/customer/quota_ledger_base.h"
#include "vanillahall/core/forward_outcome_type.h"
#include "vanillahall/core/placement/choice_explanation_type.h"
#include "vanillahall/core/token_ledger_base.h"

namespace Vanillahall::Forward {

/** How a request is refused that hasn't run. */
struct Refusal
{
    unsigned status = 503;              ///< HTTP status.
    std::optional<Duration> retryAfter; ///< Delay after which a retry may succeed, if any.
    Outcome outcome;                    ///< Outcome.
};

/** What would happen to a request. */
enum class Verdict : std::uint8_t {
    Sent,    ///< It is sent to the chosen server.
    Waits,   ///< It waits in the proxy.
    Refused, ///< It is refused.
    Unknown, ///< The proxy would have to ask the store or other proxies first.
};

/** Decision about admission. */
struct AdmissionExplanation
{
    SaturationView saturation;  ///< State of the service.
    AdmissionDecision decision; ///< The decision.
    std::size_t waiting{};      ///< Requests that wait for servers of the service.
};

/** Decision about the customer's rate limit. */
struct PermitExplanation
{
    std::optional<QuotaView> view; ///< What is known about the limit.
    QuotaAnswer answer;            ///< The decision.
};

/** Decision about the program's token budget. */
struct TokenExplanation
{
    std::uint64_t budget{};    ///< Token budget of the program, as the request names it.
    std::uint64_t maxTokens{}; ///< Tokens that the turn needs.
    TokenView view;            ///< What is known about the program.
    TokenAnswer answer;        ///< The decision.
};

/** Explanation of a request. Contains no API keys. */
struct RequestExplanation
{
    std::uint64_t configVersion{};                 ///< Version of the configuration; 0 if there is none.
    std::optional<Duration> configAge;             ///< Time since the store confirmed it; nothing if there is none.
    Duration serverListAge{};                      ///< Age of the list of servers.
    bool isStoreReachable = false;                 ///< True if the store has answered recently.
    std::string route;                             ///< Route; empty if there is none.
    std::string service;                           ///< Service.
    std::optional<CustomerIdentity> customer;      ///< Customer, if the request has one.
    std::optional<AdmissionExplanation> admission; ///< Nothing if admission isn't restricted.
    std::optional<PermitExplanation> permit;       ///< Nothing without a rate limit.
    std::optional<TokenExplanation> tokens;        ///< Nothing without a token budget.
    std::optional<ChoiceExplanation> choice;       ///< Nothing if the request is refused before.
    Verdict verdict = Verdict::Sent;               ///< What would happen.
    std::optional<Refusal> refusal;                ///< The refusal, also the one that follows if a wait isn't successful.
    std::optional<Duration> maxWait;               ///< Longest time for which the request waits.
    std::string_view error;                        ///< Code of what isn't known, for Verdict::Unknown.
    std::string reason;                            ///< Text for operators.
    std::vector<std::string_view> notes;           ///< What the explanation doesn't cover.

    /** Sets the verdict, unless an earlier step has. @return True if it was set. */
    bool conclude(Verdict result, std::string text);
    void refuse(const Refusal &found);
    void wait(Duration span, const Refusal &then, std::string text);
    void setUnknown(std::string_view code, std::string text);
};

} // namespace Vanillahall::Forward
