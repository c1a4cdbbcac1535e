/** Processing of one client request. */
#pragma once

#include "client_session.h"
#include "conversation.h"
#include "event_splitter.h"
#include "request_explanation_type.h"
#include "server_connection.h"

#include "vanillahall/core/budget/outage_share_base.h"
#include "vanillahall/core/crash/crash_evidence_type.h"
#include "vanillahall/core/customer/customer_directory_base.h"
#include "vanillahall/core/customer/programs_in_progress_base.h"
#include "vanillahall/core/customer/quota_ledger_base.h"
#include "vanillahall/core/forward_outcome_type.h"
#include "vanillahall/core/retry_policy_func.h"
#include "vanillahall/core/server_registry_base.h"
#include "vanillahall/core/stream_versions_base.h"

#include <set>

namespace Vanillahall::Forward {

class ProxyState;

/** Selects a server for the request, sends it, and forwards the response. Retries failed attempts as far as the route allows. */
class Exchange : public ServerConnectionListener, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(ProxyState &proxy, const std::shared_ptr<ClientSession> &session, ClientRequest request);
    ~Exchange() override;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    // Commands.

    /** Starts processing. */
    void start();
    /** Called after a store call that this request may wait for. @param hasFailed True if that call failed. */
    void onStoreUpdate(bool hasFailed);
    /** Called after a store call about the rate limit that this request waits for. */
    void onPermitUpdate();
    /** Called after a read of the record of versions. @param hasFailed True if it wasn't read. */
    void onOriginUpdate(bool hasFailed);
    /** Called when the client has closed its connection. */
    void onClientDisconnected();
    /** Called when the request is still in progress at the limit of a planned stop. */
    void onStopLimit();
    /** Called when the client's send buffer has drained. */
    void onClientDrained();
    /** Tries to get a server, since the request is the first in order of those that wait. */
    void tryServer();
    /** Refuses the request to release its memory. @pre canBeRefused() */
    void refuseForMemory();
    /**
     * Explains what start() would lead to now, and changes nothing but this exchange. @pre The exchange has no session and wasn't started.
     */
    [[nodiscard]] RequestExplanation explain();

    // Queries.

    /** @return True if the request waits and was never sent to a server, so that it can be refused as not run. */
    [[nodiscard]] bool canBeRefused() const;

    // Events of the server connection.

    bool onResponseHead(const ResponseHead &head) override;
    BodyAction onResponseBody(std::string_view piece) override;
    void onResponseComplete() override;
    void onConnectionFailure(const ServerConnectionFailure &failure) override;
    bool onConnected() override;

private:
    /** Determines route, customer and service of the request. @return Refusal; nothing if the request may go on. */
    std::optional<Refusal> prepare();
    /** Determines the customer of the request. @return Refusal; nothing if the request may go on. */
    std::optional<Refusal> identifyCustomer();
    /** Checks what depends on the customer and can't change by waiting. @return Refusal; nothing if the request may go on. */
    std::optional<Refusal> checkContent();
    /** Checks that the customer is still the one that the request was accepted for. @return False if the request was refused. */
    bool confirmCustomer();
    /** @return Customer of the request under the configuration in force. */
    [[nodiscard]] Identification currentCustomer() const;
    /** Refuses a request whose key doesn't identify a customer. */
    void refuseKey(const Identification &found);
    /** Makes the request one of this customer, or of none. */
    void setCustomer(std::optional<CustomerIdentity> customer);
    /** Gives back what the request holds for its customer, and starts it again for another one. */
    void changeCustomer(std::optional<CustomerIdentity> customer);
    /** Starts the steps that depend on the customer. */
    void startForCustomer();
    /** @return Key under which something with this id is stored for the request's customer. */
    [[nodiscard]] std::string keyOf(const std::string &id) const;
    /** @return Fields about the customer for a log line; they show neither names nor keys. */
    [[nodiscard]] std::string customerFields() const;
    /** Refuses the request if the servers can't take more work. @return True if it was refused. */
    bool refuseOverload();
    /** Requests a permit of the customer's rate limit; queryStore() follows once it is granted. */
    void requestPermit();
    /** Continues once the permit is granted. */
    void continueWithPermit();
    /** Checks that the permit can still be used, else requests another one. @return False if the request can't be sent now. */
    bool confirmPermit();
    /** Hands the permit back if the request hasn't been sent. */
    void returnPermit();
    /** @return True if the customer of the request has a rate limit. */
    [[nodiscard]] bool hasRateLimit() const;
    /** @return Request for a permit of the customer's rate limit; the request has a customer. */
    [[nodiscard]] QuotaRequest quotaRequest() const;
    /** @return Remaining time that the request may wait for a permit. */
    [[nodiscard]] Duration permitWaitLeft() const;
    /** @return What the request tells about its program; the request has a customer. */
    [[nodiscard]] ProgramHints programHints() const;
    [[nodiscard]] bool isTurnNameValid() const;
    void queryStore();
    void findConversation();
    void onConversationFound(const TurnStep &result);
    /** @return Request for the tokens of the turn. */
    [[nodiscard]] TokenRequest tokenRequest() const;
    void requestTokens();
    /** @return Tokens that the turn generates at most. */
    [[nodiscard]] std::uint64_t maxTokens() const;
    /**
     * Asks the owner of the program for the tokens, since the store doesn't answer.
     * @return False if that isn't possible; the request has to wait for the store then.
     */
    bool requestOutageTokens();
    /** @param answer Answer of the owner; nothing if there was none. */
    void onOutageAnswer(const OutageGrantRequest &request, const std::string &owner, const std::optional<OutageAnswer> &answer);
    /** @return Delay before the next attempt; grows with each one. */
    Duration nextStoreRetryDelay();
    void waitForStore();
    void setStoreTimer(Duration span);
    /** Refuses the request if such requests have crashed too many servers. @return True if it was refused. */
    bool refuseQuarantined();
    /** @return What is known about the version of the stream that the client resumes. */
    [[nodiscard]] StreamOrigin streamOrigin() const;
    /**
     * Determines which version began the stream that the client resumes.
     * @return False if the request waits for what tells it, or was refused.
     */
    bool findOrigin();
    /** Reads the record of versions; queryStore() follows. */
    void readVersions();
    /** Asks the owner of the program at which versions streams began with its tokens; queryStore() follows. */
    void findOutageVersions();
    /** Refuses the request because the version of its stream isn't known. */
    void refuseOrigin();
    /** @return Remaining time in which the version has to be known; unlimited if it is, or doesn't matter. */
    [[nodiscard]] Duration originWaitLeft() const;
    /** @return Fields about the version of a resumed stream for a log line. */
    [[nodiscard]] std::string originFields() const;
    /** @return True if no server can continue the stream. */
    [[nodiscard]] bool isVersionGone() const;
    /** @return Version at which the turn's stream is to begin, if the program's row has to name it before. */
    [[nodiscard]] std::optional<SoftwareVersion> versionToName() const;
    /** @return Server for the request, among those whose version fits. @param explanation Receives the explanation; may be null. */
    [[nodiscard]] std::optional<Choice> chooseServer(ChoiceExplanation *explanation) const;
    /** @return Server for the request, among those that may be sent its bytes; the others are excluded. */
    [[nodiscard]] std::optional<Choice> chooseServerWithRoom();
    /** The same without counting the others. @param explanation Receives the explanation; may be null. */
    [[nodiscard]] std::optional<Choice> findServerWithRoom(ChoiceExplanation *explanation);
    /** @return Size of the request as it is sent, without its first line and the headers of the proxy. */
    [[nodiscard]] std::size_t requestBytes() const;
    /** Counts the request among those that its server holds, until removeServerBytes(). */
    void addServerBytes();
    void removeServerBytes();
    /** @return True if the versions at which the stream may begin are those of the program's row. */
    [[nodiscard]] bool isVersionInRow() const;
    /** @return True if the tokens of the turn have to be reserved, so that its program has a row in the store. */
    [[nodiscard]] bool hasTokenBudget() const;
    /** @return True if a row of its own has to name the version of the stream, since there are several and its program has no row. */
    [[nodiscard]] bool hasStreamRow() const;
    /** @return Key of the row that names the version of the stream: that of the program, or of the stream. */
    [[nodiscard]] std::string versionRowKey() const;
    /** @return True if the client resumes a stream that it has received in part. */
    [[nodiscard]] bool isResumed() const;
    /** Ends a request whose stream no server can continue. */
    void answerVersionGone();
    void selectServer();
    void waitForServer();
    /** @return Refusal of a request for which there is no server now; nothing if it may wait. @param waitLeft How long it may wait. */
    [[nodiscard]] std::optional<Refusal> serverRefusal(Duration waitLeft) const;
    void send(const Choice &choice);
    [[nodiscard]] std::string requestText(const Server &server) const;
    /** Handles the end of an attempt whose server has ended the response early, or sent one that can't be passed on. */
    void onAttemptBroken(const std::string &message);
    void onAttemptFailed(AttemptFailure failure, const std::string &message);
    /** @param isComplete True if the server has answered the whole request successfully, so that its time tells its cost. */
    void endAttempt(bool isComplete);
    /** @return Hash of the request's content; 0 before checkContent(). */
    [[nodiscard]] std::uint64_t content() const;
    /** @return The current attempt, as far as it counts if its server ends. */
    [[nodiscard]] CrashedAttempt crashedAttempt() const;
    /** @return Refusal because such requests have crashed servers; nothing if the request may go on. */
    [[nodiscard]] std::optional<Refusal> quarantineRefusal() const;
    /** @return What the choice of a server depends on, for servers of any software version. */
    [[nodiscard]] ChoiceRequest choiceRequest() const;
    /** @return Fields of the log line about the expected course of the request. */
    [[nodiscard]] std::string placementFields() const;
    /** Ends the current attempt, which its server may still run. @param why Reason for the log. */
    void abandonAttempt(std::string_view why);
    /** Records that the current attempt has ended for the proxy, while its server may still run it. */
    void recordAbandoned(std::string_view why);
    void recordRateLimit(std::optional<double> perSecond);
    /** Records that the server of the current attempt has stated that it is leaving. */
    void recordLeaving();
    void answer(unsigned status, std::optional<Duration> retryAfter, Outcome outcome);
    void answerNotRun(Outcome outcome);
    void beginAnswer();
    void forwardToClient(std::string_view bytes);
    [[nodiscard]] BodyAction bodyAction();
    void forwardEvents(const CompleteEvents &events);
    /** Records which version began the stream, once its first event is forwarded. */
    void recordOrigin();
    void endAnswer(const std::string &rest);
    void finishAnswer();
    void onTimeout();
    /** Ends the request although it may be running. @param outcome Reason. */
    void endEarly(Outcome outcome);
    void abortResponse(Outcome outcome);
    void recordUnresponsiveServer();
    void end(unsigned status, Outcome outcome);
    void settleTokens();
    [[nodiscard]] Duration timeLeft() const;
    // Overload.

    /** @return Hash of the program and its owner; 0 if there is none. */
    [[nodiscard]] std::uint64_t programHash() const;
    /** @return Hash of the customer; 0 if there is none. */
    [[nodiscard]] std::uint64_t customerHash() const;
    [[nodiscard]] std::uint32_t customerRank() const;
    /** @return Time until the deadline of the program. */
    [[nodiscard]] std::optional<Duration> programTimeLeft() const;
    /** @return False if anything known here shows that the program is in progress. */
    [[nodiscard]] bool mayBeginProgram() const;
    /** @return Longest time from the arrival for which the request may wait for a server. */
    [[nodiscard]] Duration maxServerWait() const;
    /** @return True if the deadline of the program has passed. */
    [[nodiscard]] bool isProgramLate() const;
    /** @return What the decision about admission depends on. */
    [[nodiscard]] ProgramRequest programRequest() const;
    /** @return True if the request must wait because others have precedence at its service. */
    [[nodiscard]] bool isBehindOthers() const;
    /** The same for a state of the service. */
    [[nodiscard]] bool isBehindOthers(const SaturationView &saturation) const;
    void explainQuarantine(RequestExplanation &explanation) const;
    void explainAdmission(RequestExplanation &explanation);
    void explainPermit(RequestExplanation &explanation) const;
    void explainStoreSteps(RequestExplanation &explanation);
    void explainServer(RequestExplanation &explanation);
    void joinQueue(Duration maxWait);
    void leaveQueue();
    void recordAttemptStart();
    void recordAttemptEnd();
    /** Records that the server of the current attempt has refused it because it is full. */
    void recordServerFull();
    void recordFirstEvent();
    /** Records that the request has ended without having run. */
    void recordNotRun();
    /** Records that the current attempt has brought a complete turn. */
    void recordTurnEnd();
    /** @return Value of the priority header; nothing for requests without a prompt. */
    [[nodiscard]] std::optional<std::uint32_t> priorityForEngine() const;
    /** Refuses the request because its service is overloaded. */
    void answerOverloaded(Duration retryAfter);
    /** @return Remaining time that the request may wait for the store. */
    [[nodiscard]] Duration storeWaitLeft() const;

    ProxyState &m_proxy;                               ///< The proxy; outlives the exchange.
    std::shared_ptr<ClientSession> m_session;          ///< Connection of the client.
    ClientRequest m_request;                           ///< The request.
    Route m_route;                                     ///< Route as configured when the request arrived.
    std::string m_service;                             ///< Service selected by the route's weights.
    std::uint32_t m_maxConnections = 0;                ///< Connections that a server of the service accepts.
    std::uint32_t m_tokensPerEvent = 1;                ///< Generated tokens in one event.
    boost::asio::steady_timer m_limitTimer;            ///< Ends the request at m_limitAt.
    boost::asio::steady_timer m_waitTimer;             ///< Delay before the next attempt to get tokens or a server.
    TimePoint m_limitAt{};                             ///< Deadline of the client or time limit of the route, whichever is earlier.
    std::optional<TimePoint> m_serverChosenAt;         ///< When a server was first selected.
    std::optional<TimePoint> m_firstByteAt;            ///< When the response started.
    std::uint64_t m_configVersion = 0;                 ///< Version of the configuration when the request arrived.
    RequestFeatures m_features;                        ///< Features by which the request is recognized if it crashes servers.
    std::uint64_t m_grantedTokens = 0;                 ///< Tokens that were granted and aren't settled yet.
    std::uint64_t m_forwardedEvents = 0;               ///< Events forwarded to the client.
    std::uint32_t m_attemptEvents = 0;                 ///< Events received in the current attempt.
    TimePoint m_attemptStartedAt{};                    ///< When the current attempt started.
    TimePoint m_attemptFirstEventAt{};                 ///< When its first event was received.
    std::optional<std::uint64_t> m_lastEvent;          ///< Id of the last event forwarded to the client.
    std::optional<SoftwareVersion> m_origin;           ///< Version that began the stream; nothing if it hasn't begun or isn't known.
    std::optional<SoftwareVersion> m_newVersion;       ///< Version to begin at although the program's row doesn't name it yet.
    std::shared_ptr<ServerConnection> m_connection;    ///< Connection of the current attempt.
    std::set<std::string> m_excludedServers;           ///< Servers that refused or failed this request.
    std::set<std::string> m_refusedBy;                 ///< Servers that have stated that they didn't run this request.
    Choice m_choice;                                   ///< Server of the current attempt.
    AttemptFailure m_failure = AttemptFailure::Broken; ///< Type of failure if the connection ends now.
    std::string m_failureReason;                       ///< Why the response of the current attempt was rejected.
    unsigned m_refusalStatus = 0;                      ///< Status of the response that refused the request.
    std::uint32_t m_attempts = 0;                      ///< Number of attempts.
    std::uint32_t m_mayHaveRun = 0;                    ///< Number of attempts that a server may have run.
    ResponseHead m_head;                               ///< Head of the response to forward.
    std::string m_bufferedBody;                        ///< Body that is buffered until it is complete.
    EventSplitter m_events;                            ///< Splits the stream into events.
    std::string m_triedServers;                        ///< Servers of all attempts, for the log.
    bool m_isStreaming = false;                        ///< True if the current response is an event stream.
    bool m_endsWithConnection = false;                 ///< True if the current response ends with its connection.
    bool m_isOriginRecorded = false;                   ///< True once recordOrigin() has recorded the version.
    bool m_hasBegunAnswer = false;                     ///< True if the head was sent to the client.
    bool m_continuesAnswer = false;                    ///< True if the current attempt continues the answer of an earlier one.
    bool m_hadFirstEvent = false;                      ///< True if the current attempt has received an event.
    bool m_isRefusal = false;                          ///< True if the server states that it didn't run the request.
    bool m_isEnded = false;                            ///< True after end().
    bool m_isClientDisconnected = false;               ///< True if the client has disconnected.
    bool m_waitsForStore = false;                      ///< True while waiting for tokens or for the conversation.
    bool m_isStoringTurn = false;                      ///< True while the turn is being stored, before the end of its response is sent.
    bool m_isTurnTooLong = false;                      ///< True if the response makes the turn too long to be stored.
    bool m_hasConversation = false;                    ///< True once the earlier turns are loaded.
    bool m_isAnswerComplete = false;                   ///< True if the client got the complete response.
    std::size_t m_bytesSinceEvent = 0;                 ///< Bytes forwarded since the last event with an id.
    unsigned m_storeFailures = 0;                      ///< Failed store calls of this request.
    std::size_t m_conversationBytes = 0;               ///< Reserved memory for the conversation.
    std::shared_ptr<Conversation> m_conversation;      ///< The conversation, on a route that stores conversations.
    bool m_hasPermit = false;                          ///< True while the request holds a permit of its customer's rate limit.
    std::string m_permitCustomer;                      ///< Customer that the permit was granted to.
    bool m_hasRequestedPermit = false;                 ///< True once a permit was requested.
    bool m_waitsForPermit = false;                     ///< True while waiting for a permit.
    std::optional<CustomerIdentity> m_customer;        ///< Customer of the request; nothing if it has none.
    std::string m_programKey;                          ///< Key of the program's token row; empty without a program.
    HeldBytes m_heldCopy;                              ///< Request text of the current attempt, until the response begins.
    std::size_t m_serverBytes = 0;                     ///< Bytes counted by addServerBytes().
    HeldBytes m_heldBody;                              ///< Size of m_bufferedBody.
    std::uint64_t m_queueNumber = 0;                   ///< Number among the requests that wait for servers; 0 if it never waited.
    bool m_isFirstInOrder = false;                     ///< True while the request may select a server although others wait.
    bool m_isWaitOver = false;                         ///< True once the request has waited for as long as it may.
    bool m_isNewProgram = false;                       ///< True if the request begins its program.
    bool m_isLooping = false;                          ///< True if its program has lost its precedence.
    bool m_isTurnCounted = false;                      ///< True if the request counts as a turn of its program.
    bool m_isAttemptCounted = false;                   ///< True while the current attempt counts as work in progress.
    std::string m_ownerPrefix;                         ///< Prefix of the keys of what belongs to the customer; empty without a customer.

    // Second share of the token budget.

    /** Call by which the version of a resumed stream is learnt. */
    enum class OriginStep : std::uint8_t {
        None,
        ReadingRecord,
        AskingOwner,
    };

    /** Turn whose tokens the owner of the program has granted. */
    struct OutageTurn
    {
        std::string owner;          ///< Proxy that has granted them.
        OutageGrantRequest request; ///< The request for them.
    };

    std::optional<OutageTurn> m_outageTurn;                       ///< Turn granted by the owner of the program, not settled yet.
    std::string m_askedTurn;                                      ///< Name of the turn for which the owner was asked; empty if it wasn't.
    bool m_isOutageShareSpent = false;                            ///< True if the owner grants no more to the program.
    bool m_needsClosing = false;                                  ///< True while waiting for the second share of the budget to be closed.
    std::optional<std::vector<SoftwareVersion>> m_outageVersions; ///< Versions at which streams began with tokens of the owner.
    bool m_isOwnerUnknown = false;                                ///< True if nobody can tell these versions now.
    std::optional<TimePoint> m_originSearchedAt;                  ///< Since when the version of the stream is searched for.
    OriginStep m_originStep = OriginStep::None;                   ///< What the request waits for to learn the version of its stream.
};

} // namespace Vanillahall::Forward
