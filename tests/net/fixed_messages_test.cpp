/** Messages between entries and gates, byte for byte: processes of two releases talk to each other, whatever types are called here. */
#include "any_aggregate.h"
#include "link_auth.h"
#include "link_codec.h"

#include <algorithm>
#include <array>

#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/grpcpp.h>
#include <link.grpc.pb.h>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** Sets every member of a message, in the order of their declaration, to the next number or a text with the next number. */
class CountingFill
{
public:
    /** @param choice Alternative of the first variant in the message; further ones change by themselves. */
    explicit CountingFill(std::size_t choice)
        : m_choice(choice)
    {
    }

    template<typename Type>
    void operator()(Type &it)
    {
        if constexpr (std::is_same_v<Type, bool>) {
            it = true;
        } else if constexpr (std::is_enum_v<Type>) {
            it = static_cast<Type>(AnyAggregate::lastOf(it));
        } else if constexpr (std::is_arithmetic_v<Type>) {
            it = static_cast<Type>(++m_last);
        } else if constexpr (std::is_same_v<Type, std::string>) {
            it = "t" + std::to_string(++m_last);
        } else if constexpr (requires { it.time_since_epoch(); }) {
            it = Type(typename Type::duration(++m_last));
        } else if constexpr (requires { it.count(); }) {
            it = Type(++m_last);
        } else if constexpr (requires { it.resize(2); }) {
            it.resize(2);
            (*this)(it[0]);
            (*this)(it[1]);
        } else if constexpr (requires { it.emplace(); }) {
            (*this)(it.emplace());
        } else if constexpr (requires { it.valueless_by_exception(); }) {
            constexpr std::size_t Size = std::variant_size_v<Type>;
            choices = std::max(choices, Size);
            fillAlternative(it, m_choice++ % Size, std::make_index_sequence<Size>());
        } else {
            std::apply(
                [this](auto &...field) {
                    ((*this)(field), ...);
                },
                AnyAggregate::fieldsOf(it));
        }
    }

    template<typename Variant, std::size_t... Index>
    void fillAlternative(Variant &it, std::size_t chosen, std::index_sequence<Index...> /*all*/)
    {
        ((Index == chosen ? (*this)(it.template emplace<Index>()) : void()), ...);
    }

    std::size_t choices = 1; ///< Most alternatives of a variant in the message.

private:
    std::size_t m_choice;
    int m_last = 0;
};

/** Appends every message of a group, with every alternative of the variants in it. */
template<typename Group>
void appendGroup(std::vector<LinkMessage> &messages)
{
    constexpr std::size_t Size = std::variant_size_v<Group>;
    for (std::size_t index = 0; index < Size; index++) {
        std::size_t choices = 1;
        for (std::size_t choice = 0; choice < choices; choice++) {
            Group group;
            CountingFill fill(choice);
            fill.fillAlternative(group, index, std::make_index_sequence<Size>());
            choices = fill.choices;
            messages.emplace_back(group);
        }
    }
}

std::string toHex(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        text += Digits[byte / 16];
        text += Digits[byte % 16];
    }
    return text;
}

/** Refuses every call and keeps its name. */
class AnyService : public grpc::CallbackGenericService
{
public:
    grpc::ServerGenericBidiReactor *CreateReactor(grpc::GenericCallbackServerContext *context) override
    {
        method = context->method();
        return grpc::CallbackGenericService::CreateReactor(context);
    }

    std::string method; ///< Of the newest call.
};

/** The bytes of all messages, each under its name in link.proto. */
constexpr auto Fixed = std::to_array<std::string_view>({
    // messages
    "0a6d0a0f0a0b0901000000000000001002100310041a1609050000000000000010061907000000000000002008220274392a037431303212090b000000000000"
    "00110c000000000000003a06080d100e1801400f4a150a130a03743136120374313712037431381813201450155816",
    "0a6b0a0f0a0b0901000000000000001002100310041a1609050000000000000010061907000000000000002008220274392a037431303212090b000000000000"
    "00110c000000000000003a06080d100e1801400f4a1312110a0374313612037431371a03743138200150135814",
    // fetch_call
    "122d0a0f0a0b0901000000000000001002100310041a16090500000000000000100619070000000000000020082009",
    // cancel_call
    "1a2b0a0f0a0b0901000000000000001002100310041a1609050000000000000010061907000000000000002008",
    // settle_calls
    "223a0a1609010000000000000010021903000000000000002004120f0a0b09050000000000000010061007120f0a0b0908000000000000001009100a",
    // end_program
    "8201250a0b0901000000000000001002121609030000000000000010041905000000000000002006",
    // adopt_shard
    "8a01180a1609010000000000000010021903000000000000002004",
    // config_update
    "92015d0a5b080112060a027432100312060a02743410051a060a02743610011a060a0274371001221a080812027439180a22070a03743131100c310d00000000"
    "000000221b080e120374313518102a070a037431371001311200000000000000",
    "92015d0a5b080112060a027432100312060a02743410051a060a02743610011a060a0274371001221a080812027439180a2a070a037431311001310c00000000"
    "000000221b080d1203743134180f22070a037431361011311200000000000000",
    // probe
    "2a020801",
    // call_started
    "32130a0f0a0b090100000000000000100210031004",
    // call_tokens
    "3a1d0a0f0a0b09010000000000000010021003100418052202743622027437",
    // call_finished
    "422d0a0f0a0b0901000000000000001002100310041a180a160805120274361a02743720082809300a380b400c480d",
    "42270a0f0a0b0901000000000000001002100310041a121210081b1002180f220274352a0274363007",
    // call_refused
    "4a250a0f0a0b0901000000000000001002100310041a10081b1002180f220274352a0274363007",
    // shard_adopted
    "9a01a80109010000000000000010021a3f0a0f0a0b0903000000000000001004100510061a1209070000000000000011080000000000000020022a120a100a02"
    "743912037431301203743131180c300d1a400a0f0a0b090e00000000000000100f101010111a1209120000000000000011130000000000000020022a1312110a"
    "0374323012037432311a0374323220013017220b0918000000000000001019220b091a00000000000000101b",
    "9a01a80109010000000000000010021a3f0a0f0a0b0903000000000000001004100510061a1209070000000000000011080000000000000020022a1212100a02"
    "743912037431301a037431312001300c1a400a0f0a0b090d00000000000000100e100f10101a1209110000000000000011120000000000000020022a130a110a"
    "037431391203743230120374323118163017220b0918000000000000001019220b091a00000000000000101b",
    // pinned_programs
    "a20123090100000000000000120b0902000000000000001003120b0904000000000000001005",
    // gate_status
    "523d0801120274321a027433210400000000000000280530013a0274363a02743742027438480950015801600a680b700c780d80010e88010f900110980111",
    // forward_request
    "5a370801120274321801222d0a02743312060804100518061a0b09070000000000000010082212090900000000000000110a00000000000000",
    "5a4108011202743218012a370a0f0a0b0903000000000000001004100512100a0e0a027436120274371202743818091a12090a00000000000000110b00000000"
    "000000",
    "5a170801120274321801320d0a0b0903000000000000001004",
    "5a1b08011202743218013a110a0f0a0b09030000000000000010041005",
    "5a170801120274321801420d0a0b0903000000000000001004",
    "5a1708011202743218014a0d0a0b0903000000000000001004",
    "5a21080112027432180152170a0f0a0b0903000000000000001004100510011a027436",
    // forward_cancel
    "aa01020801",
    // forward_tokens
    "620c080110021a0274331a027434",
    // forward_answer
    "6a110801120d0a0b0902000000000000001003",
    "6a4508011a410a0f0a0b0902000000000000001003100412100a0e0a027435120274361202743718081a131211081b1002180f220274392a03743130300b2203"
    "743132280d3001",
    "6a110801220d0a0b0902000000000000001003",
    "6a4b08012a470a0f0a0b0902000000000000001003100410031a100a0e0a0274351202743612027437180822131211081b1002180f220274392a03743130300b"
    "2a03743132300d380e400f4801",
    "6a430801323f0a0b0902000000000000001003120b09040000000000000010051a027436220274372a0608081009180a3206080b100c180d380e400f48015010"
    "5a03743137",
    "6aa90108013aa4010a0b090200000000000000100312480a0f0a0b0904000000000000001005100610031a100a0e0a0274371202743812027439180a22141212"
    "081b1002180f22037431312a03743132300d2a03743134300f381040114801124b0a0f0a0b0912000000000000001013101410031a130a110a03743231120374"
    "32321203743233181822141212081b1002180f22037432352a03743236301b2a03743238301d381e401f4801",
    "6a1508014a110a0f0a0b09020000000000000010031004",
    "6a1408014210081b1002180f220274322a0274333004",
    // promise_request
    "b2010d09010000000000000010021803",
    // promise_answer
    "ba010f090100000000000000100218032001",
    // entry_status
    "72450a027431120274321903000000000000002004280132150905000000000000001006180722027438220274393217090a00000000000000100b180c220374"
    "31332203743134",
    // unstored_turns
    "c201c401090100000000000000125a0a0f0a0b0902000000000000001003100412120905000000000000001106000000000000001a100a0e0a02743712027438"
    "12027439180a22141212081b1002180f22037431312a03743132300d2a03743134300f381040114812125d0a0f0a0b0913000000000000001014101512120916"
    "000000000000001117000000000000001a130a110a0374323412037432351203743236181b22141212081b1002180f22037432382a03743239301e2a03743331"
    "3020382140224823",
    "c201d00109010000000000000012600a0f0a0b0902000000000000001003100412120905000000000000001106000000000000001a10120e0a02743712027438"
    "1a0274392001221a0a18080a12037431311a03743132200d280e300f3810401148122a03743139301438154016481712630a0f0a0b0918000000000000001019"
    "101a1212091b00000000000000111c000000000000001a1312110a0374323912037433301a037433312001221a0a18082012037433331a037433342023282430"
    "253826402748282a03743431302a382b402c482d",
    // turns_kept
    "ca012b090100000000000000120f0a0b09020000000000000010031004120f0a0b09050000000000000010061007",
});

} // namespace

TEST(FixedMessages, AreWrittenAndReadAsBefore)
{
    std::vector<LinkMessage> messages;
    appendGroup<EntryToGate>(messages);
    appendGroup<GateToEntry>(messages);
    appendGroup<EntryToEntry>(messages);
    ASSERT_EQ(messages.size(), Fixed.size()) << "add the bytes of the new message";
    for (std::size_t n = 0; n < Fixed.size(); n++) {
        const auto bytes = encodeLinkMessage(messages[n]);
        EXPECT_EQ(toHex(bytes), Fixed[n]) << n;
        Error reason;
        const auto message = decodeLinkMessage(bytes, reason);
        ASSERT_TRUE(message) << n << ": " << reason.message;
        EXPECT_TRUE(AnyAggregate::same(*message, messages[n])) << n;
    }
}

TEST(FixedMessages, TravelInFramesAsBefore)
{
    Wire::LinkFrame frame;
    encode(EntryToGate(Probe{1}), *frame.add_messages());
    encode(EntryToGate(Probe{2}), *frame.add_messages());
    EXPECT_EQ(toHex(frame.SerializeAsString()), "0a042a0208010a042a020802");
}

TEST(FixedMessages, TravelOnTheCallOfBefore)
{
    AnyService service;
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterCallbackGenericService(&service);
    const auto server = builder.BuildAndStart();
    const auto channel = grpc::CreateChannel("127.0.0.1:" + std::to_string(port), grpc::InsecureChannelCredentials());
    grpc::ClientContext context;
    const auto call = Wire::LinkService::NewStub(channel)->Link(&context);
    EXPECT_EQ(call->Finish().error_code(), grpc::StatusCode::UNIMPLEMENTED);
    EXPECT_EQ(service.method, "/Vanillahall.Wire.LinkService/Link");
}

TEST(FixedMessages, FollowTheSameGreetingAsBefore)
{
    std::string text;
    writeIdentity({"e1", {17}, "secret"}, true, [&text](const char *name, const std::string &value) {
        text.append(name).append("=").append(value).append(" ");
    });
    EXPECT_EQ(text, "vanillahall-name-bin=e1 vanillahall-incarnation-bin=17 vanillahall-key-bin=secret ");
}

// The numbers travel; those of errors and declared servers are fixed beside their names in the rows' tests.
static_assert(static_cast<int>(HeldState::Waiting) == 0 && static_cast<int>(HeldState::Running) == 1
              && static_cast<int>(HeldState::Finished) == 2);
static_assert(static_cast<int>(PoolKind::Model) == 0 && static_cast<int>(PoolKind::Service) == 1);
static_assert(static_cast<int>(TurnState::Reserving) == 0 && static_cast<int>(TurnState::Ordered) == 1
              && static_cast<int>(TurnState::Running) == 2 && static_cast<int>(TurnState::Finished) == 3);

} // namespace Vanillahall
