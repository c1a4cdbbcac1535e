#include "link_auth.h"
#include "link_call.h"
#include "link_tls.h"
#include "loop_state.h"

#include <unordered_map>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

namespace Vanillahall {

namespace {

constexpr Duration OpenTimeout = std::chrono::seconds(5); ///< Maximum time to open a link.
constexpr int ConnectAttemptTimeoutMs = 5000;             ///< Maximum time of one connection attempt.

/** Client end of a link. */
class ClientLinkCall : public LinkCall
{
public:
    using LinkCall::LinkCall;

    /** Starts opening the link. */
    void open(std::shared_ptr<grpc::Channel> channel, const LinkIdentity &self, grpc::CompletionQueue *queue)
    {
        enableCloseReport();
        writeIdentity(self, true, [this](const char *name, const std::string &value) {
            m_context.AddMetadata(name, value);
        });
        m_stub = Wire::LinkService::NewStub(std::move(channel));
        m_stream = m_stub->PrepareAsyncLink(&m_context, queue);
        m_stream->StartCall(openingStep([this] {
            m_stream->ReadInitialMetadata(openingStep([this] {
                onPeerIdentified();
            }));
        }));
    }

protected:
    void startRead(Wire::LinkFrame &frame, CompletionTag &tag) override
    {
        m_stream->Read(&frame, &tag);
    }

    void startWrite(const Wire::LinkFrame &frame, CompletionTag &tag) override
    {
        m_stream->Write(frame, &tag);
    }

    void startFinish(CompletionTag &tag) override
    {
        m_stream->Finish(&m_status, &tag);
    }

    void cancel() override
    {
        m_context.TryCancel();
    }

private:
    void onPeerIdentified()
    {
        if (const auto peer = readIdentity(m_context.GetServerInitialMetadata())) {
            markOpen(*peer);
        } else {
            close();
        }
    }

    grpc::ClientContext m_context;
    std::unique_ptr<Wire::LinkService::Stub> m_stub;
    std::unique_ptr<grpc::ClientAsyncReaderWriter<Wire::LinkFrame, Wire::LinkFrame>> m_stream;
    grpc::Status m_status;
};

} // namespace

/** Internal state of a link client. */
struct LinkClientState
{
    /** One link. */
    struct Link
    {
        std::unique_ptr<ClientLinkCall> call; ///< The link.
        TimerId timer;                        ///< Timer for OpenTimeout.
    };

    LinkClientState(Loop &loop, LinkIdentity selfOfClient, TlsFiles files, LinkHandlers handlersOfClient);
    ~LinkClientState();
    LinkClientState(const LinkClientState &) = delete;
    LinkClientState &operator=(const LinkClientState &) = delete;

    LinkNumber open(const std::string &address);
    void onEnded(LinkCall &call);
    LinkCall *find(LinkNumber number);

    LoopState &loop;                                  ///< The loop.
    LinkIdentity self;                                ///< This process.
    TlsFiles tls;                                     ///< TLS files, if TLS is used.
    LinkHandlers handlers;                            ///< Callbacks.
    grpc::ChannelArguments arguments;                 ///< Settings of all connections.
    CompletionThread completions;                     ///< Passes completed operations to the loop.
    std::unordered_map<LinkNumber, Link> links;       ///< Links that are not closed.
    std::unordered_map<LinkNumber, TimerId> failures; ///< Links that could not be opened and whose onClosed is pending.
    std::unique_ptr<LinkCall> lastEnded;              ///< Retained because its own function may still be running.
    std::uint64_t lastNumber = 0;                     ///< Number of the newest link.
};

LinkClientState::LinkClientState(Loop &loopOfClient, LinkIdentity selfOfClient, TlsFiles files, LinkHandlers handlersOfClient)
    : loop(loopOfClient.state())
    , self(std::move(selfOfClient))
    , tls(std::move(files))
    , handlers(std::move(handlersOfClient))
    , completions(loopOfClient, std::make_unique<grpc::CompletionQueue>())
{
    grpc::ResourceQuota quota;
    quota.Resize(MaxGrpcBufferBytes);
    arguments.SetResourceQuota(quota);
    arguments.SetMaxReceiveMessageSize(MaxLinkFrameBytes);
    arguments.SetMaxSendMessageSize(MaxLinkFrameBytes);
    // Each link has its own connection, so that gRPC does not apply the back-off of an earlier failure to it.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ConnectAttemptTimeoutMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
}

LinkClientState::~LinkClientState()
{
    for (const auto &[number, timer] : failures) {
        loop.stopTimer(timer);
    }
    for (const auto &[number, link] : links) {
        loop.stopTimer(link.timer);
        link.call->disableHandlers();
        link.call->close();
    }
    while (!links.empty()) {
        completions.wait();
    }
}

LinkNumber LinkClientState::open(const std::string &address)
{
    const LinkNumber number{++lastNumber};
    Error reason;
    const auto credentials = clientCredentials(tls, reason);
    if (!credentials) {
        failures[number] = loop.startTimer(Duration::zero(), [this, number] {
            failures.erase(number);
            handlers.onClosed(number);
        });
        return number;
    }
    auto call = std::make_unique<ClientLinkCall>(number, handlers, [this](LinkCall &ended) {
        onEnded(ended);
    });
    ClientLinkCall &it = *call;
    const TimerId timer = loop.startTimer(OpenTimeout, [this, number] {
        if (LinkCall *expired = find(number); expired != nullptr && expired->isOpening()) {
            expired->close();
        }
    });
    links.emplace(number, Link{std::move(call), timer});
    it.open(grpc::CreateCustomChannel(address, credentials, arguments), self, completions.queue());
    return number;
}

void LinkClientState::onEnded(LinkCall &call)
{
    const auto it = links.find(call.number());
    const bool report = call.shouldReportClose();
    loop.stopTimer(it->second.timer);
    lastEnded = std::move(it->second.call);
    links.erase(it);
    if (report) {
        handlers.onClosed(call.number());
    }
}

LinkCall *LinkClientState::find(LinkNumber number)
{
    const auto it = links.find(number);
    return it == links.end() ? nullptr : it->second.call.get();
}

LinkClient::LinkClient(Loop &loop, LinkIdentity self, TlsFiles tls, LinkHandlers handlers)
    : m_state(std::make_unique<LinkClientState>(loop, std::move(self), std::move(tls), std::move(handlers)))
{
}

LinkClient::~LinkClient() = default;

LinkNumber LinkClient::open(const std::string &address)
{
    return m_state->open(address);
}

bool LinkClient::send(LinkNumber link, const LinkMessage &message)
{
    LinkCall *call = m_state->find(link);
    return call != nullptr && call->send(message);
}

void LinkClient::close(LinkNumber link)
{
    if (LinkCall *call = m_state->find(link)) {
        call->close();
    }
}

} // namespace Vanillahall
