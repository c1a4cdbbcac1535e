/** Conversion between the types of core and the wire types. decode() returns false for missing parts and unknown enumerators. */
#pragma once

#include "vanillahall/core/message_type.h"

#include <string>
#include <vector>

#include <link.pb.h>

namespace Vanillahall {

/** Combines several functions into one visitor for std::visit. */
template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

/** Reports in `reason` that `part` is missing. @return False. */
bool failMissing(const char *part, Error &reason);

/** Reports in `reason` that `part` has an unknown value. @return False. */
bool failUnknownValue(const char *part, Error &reason);

void encode(const ProgramId &in, Wire::ProgramId &out);
bool decode(const Wire::ProgramId &in, ProgramId &out, Error &reason);
void encode(const CallKey &in, Wire::CallKey &out);
bool decode(const Wire::CallKey &in, CallKey &out, Error &reason);
void encode(const ContentHash &in, Wire::ContentHash &out);
bool decode(const Wire::ContentHash &in, ContentHash &out, Error &reason);
void encode(const Error &in, Wire::Error &out);
bool decode(const Wire::Error &in, Error &out, Error &reason);
void encode(const Budget &in, Wire::Budget &out);
bool decode(const Wire::Budget &in, Budget &out, Error &reason);
void encode(const ModelInput &in, Wire::ModelInput &out);
bool decode(const Wire::ModelInput &in, ModelInput &out, Error &reason);
void encode(const ServiceCall &in, Wire::ServiceCall &out);
bool decode(const Wire::ServiceCall &in, ServiceCall &out, Error &reason);
void encode(const CallResult &in, Wire::CallResult &out);
bool decode(const Wire::CallResult &in, CallResult &out, Error &reason);
void encode(const CallInput &in, Wire::CallInput &out);
bool decode(const Wire::CallInput &in, CallInput &out, Error &reason);
void encode(const CallOutcome &in, Wire::CallOutcome &out);
bool decode(const Wire::CallOutcome &in, CallOutcome &out, Error &reason);
void encode(const CreateProgram &in, Wire::CreateProgram &out);
bool decode(const Wire::CreateProgram &in, CreateProgram &out, Error &reason);
void encode(const SubmitCall &in, Wire::SubmitCall &out);
bool decode(const Wire::SubmitCall &in, SubmitCall &out, Error &reason);
void encode(const EndCommand &in, Wire::EndCommand &out);
bool decode(const Wire::EndCommand &in, EndCommand &out, Error &reason);
void encode(const SettleOutcome &in, Wire::SettleOutcome &out);
bool decode(const Wire::SettleOutcome &in, SettleOutcome &out, Error &reason);
void encode(const TurnQuery &in, Wire::TurnQuery &out);
bool decode(const Wire::TurnQuery &in, TurnQuery &out, Error &reason);
void encode(const ProgramQuery &in, Wire::ProgramQuery &out);
bool decode(const Wire::ProgramQuery &in, ProgramQuery &out, Error &reason);
void encode(const HistoryQuery &in, Wire::HistoryQuery &out);
bool decode(const Wire::HistoryQuery &in, HistoryQuery &out, Error &reason);
void encode(const ProgramAccepted &in, Wire::ProgramAccepted &out);
bool decode(const Wire::ProgramAccepted &in, ProgramAccepted &out, Error &reason);
void encode(const TurnView &in, Wire::TurnView &out);
bool decode(const Wire::TurnView &in, TurnView &out, Error &reason);
void encode(const ProgramView &in, Wire::ProgramView &out);
bool decode(const Wire::ProgramView &in, ProgramView &out, Error &reason);
void encode(const HistoryView &in, Wire::HistoryView &out);
bool decode(const Wire::HistoryView &in, HistoryView &out, Error &reason);
void encode(const ProgramEndAccepted &in, Wire::ProgramEndAccepted &out);
bool decode(const Wire::ProgramEndAccepted &in, ProgramEndAccepted &out, Error &reason);
void encode(const OutcomeAccepted &in, Wire::OutcomeAccepted &out);
bool decode(const Wire::OutcomeAccepted &in, OutcomeAccepted &out, Error &reason);
void encode(const CallAnswered &in, Wire::CallAnswered &out);
bool decode(const Wire::CallAnswered &in, CallAnswered &out, Error &reason);
void encode(const ClassTarget &in, Wire::ClassTarget &out);
bool decode(const Wire::ClassTarget &in, ClassTarget &out, Error &reason);
void encode(const ServerDeclaration &in, Wire::ServerDeclaration &out);
bool decode(const Wire::ServerDeclaration &in, ServerDeclaration &out, Error &reason);
void encode(const ConfigChange &in, Wire::ConfigChange &out);
bool decode(const Wire::ConfigChange &in, ConfigChange &out, Error &reason);
void encode(const ConfigRow &in, Wire::ConfigRow &out);
bool decode(const Wire::ConfigRow &in, ConfigRow &out, Error &reason);
void encode(const ConfigUpdate &in, Wire::ConfigUpdate &out);
bool decode(const Wire::ConfigUpdate &in, ConfigUpdate &out, Error &reason);
void encode(const Fence &in, Wire::Fence &out);
bool decode(const Wire::Fence &in, Fence &out, Error &reason);
void encode(const Urgency &in, Wire::Urgency &out);
bool decode(const Wire::Urgency &in, Urgency &out, Error &reason);
void encode(const ModelCall &in, Wire::ModelCall &out);
bool decode(const Wire::ModelCall &in, ModelCall &out, Error &reason);
void encode(const CallBody &in, Wire::CallBody &out);
bool decode(const Wire::CallBody &in, CallBody &out, Error &reason);
void encode(const RunCall &in, Wire::RunCall &out);
bool decode(const Wire::RunCall &in, RunCall &out, Error &reason);
void encode(const FetchCall &in, Wire::FetchCall &out);
bool decode(const Wire::FetchCall &in, FetchCall &out, Error &reason);
void encode(const CancelCall &in, Wire::CancelCall &out);
bool decode(const Wire::CancelCall &in, CancelCall &out, Error &reason);
void encode(const SettleCalls &in, Wire::SettleCalls &out);
bool decode(const Wire::SettleCalls &in, SettleCalls &out, Error &reason);
void encode(const EndProgram &in, Wire::EndProgram &out);
bool decode(const Wire::EndProgram &in, EndProgram &out, Error &reason);
void encode(const AdoptShard &in, Wire::AdoptShard &out);
bool decode(const Wire::AdoptShard &in, AdoptShard &out, Error &reason);
void encode(const Probe &in, Wire::Probe &out);
bool decode(const Wire::Probe &in, Probe &out, Error &reason);
void encode(const CallStarted &in, Wire::CallStarted &out);
bool decode(const Wire::CallStarted &in, CallStarted &out, Error &reason);
void encode(const CallTokens &in, Wire::CallTokens &out);
bool decode(const Wire::CallTokens &in, CallTokens &out, Error &reason);
void encode(const CallFinished &in, Wire::CallFinished &out);
bool decode(const Wire::CallFinished &in, CallFinished &out, Error &reason);
void encode(const CallRefused &in, Wire::CallRefused &out);
bool decode(const Wire::CallRefused &in, CallRefused &out, Error &reason);
void encode(const HeldCall &in, Wire::HeldCall &out);
bool decode(const Wire::HeldCall &in, HeldCall &out, Error &reason);
void encode(const ShardAdopted &in, Wire::ShardAdopted &out);
bool decode(const Wire::ShardAdopted &in, ShardAdopted &out, Error &reason);
void encode(const PinnedPrograms &in, Wire::PinnedPrograms &out);
bool decode(const Wire::PinnedPrograms &in, PinnedPrograms &out, Error &reason);
void encode(const GateStatus &in, Wire::GateStatus &out);
bool decode(const Wire::GateStatus &in, GateStatus &out, Error &reason);
void encode(const ForwardRequest &in, Wire::ForwardRequest &out);
bool decode(const Wire::ForwardRequest &in, ForwardRequest &out, Error &reason);
void encode(const ForwardCancel &in, Wire::ForwardCancel &out);
bool decode(const Wire::ForwardCancel &in, ForwardCancel &out, Error &reason);
void encode(const ForwardTokens &in, Wire::ForwardTokens &out);
bool decode(const Wire::ForwardTokens &in, ForwardTokens &out, Error &reason);
void encode(const ForwardAnswer &in, Wire::ForwardAnswer &out);
bool decode(const Wire::ForwardAnswer &in, ForwardAnswer &out, Error &reason);
void encode(const PromiseRequest &in, Wire::PromiseRequest &out);
bool decode(const Wire::PromiseRequest &in, PromiseRequest &out, Error &reason);
void encode(const PromiseAnswer &in, Wire::PromiseAnswer &out);
bool decode(const Wire::PromiseAnswer &in, PromiseAnswer &out, Error &reason);
void encode(const TurnFinished &in, Wire::TurnFinished &out);
bool decode(const Wire::TurnFinished &in, TurnFinished &out, Error &reason);
void encode(const UnstoredTurns &in, Wire::UnstoredTurns &out);
bool decode(const Wire::UnstoredTurns &in, UnstoredTurns &out, Error &reason);
void encode(const TurnsKept &in, Wire::TurnsKept &out);
bool decode(const Wire::TurnsKept &in, TurnsKept &out, Error &reason);
void encode(const HeldLease &in, Wire::HeldLease &out);
bool decode(const Wire::HeldLease &in, HeldLease &out, Error &reason);
void encode(const EntryStatus &in, Wire::EntryStatus &out);
bool decode(const Wire::EntryStatus &in, EntryStatus &out, Error &reason);

/** Encodes a list of messages. */
template<typename Item, typename Messages>
void encodeAll(const std::vector<Item> &in, Messages &out)
{
    out.Reserve(static_cast<int>(in.size()));
    for (const Item &item : in) {
        encode(item, *out.Add());
    }
}

/** Decodes a list of messages. @return False if one of them is invalid. */
template<typename Messages, typename Item>
bool decodeAll(const Messages &in, std::vector<Item> &out, Error &reason)
{
    out.reserve(static_cast<std::size_t>(in.size()));
    for (const auto &message : in) {
        if (!decode(message, out.emplace_back(), reason)) {
            return false;
        }
    }
    return true;
}

/** Encodes a list of strings. */
template<typename Texts>
void encodeTexts(const std::vector<std::string> &in, Texts &out)
{
    out.Reserve(static_cast<int>(in.size()));
    for (const std::string &text : in) {
        *out.Add() = text;
    }
}

/** Decodes a list of strings. */
template<typename Texts>
void decodeTexts(const Texts &in, std::vector<std::string> &out)
{
    out.assign(in.begin(), in.end());
}

/** Encodes a list of name types such as ZoneName. */
template<typename Item, typename Texts>
void encodeNames(const std::vector<Item> &in, Texts &out)
{
    for (const Item &item : in) {
        *out.Add() = item.text;
    }
}

/** Decodes a list of name types such as ZoneName. */
template<typename Texts, typename Item>
void decodeNames(const Texts &in, std::vector<Item> &out)
{
    for (const auto &text : in) {
        out.push_back(Item{text});
    }
}

/** Decodes an enumerator. @return False if it is unknown. */
template<typename WireEnum, typename Enum>
bool decodeEnum(WireEnum in, bool (*isValid)(int), Enum &out, const char *part, Error &reason)
{
    if (!isValid(in)) {
        return failUnknownValue(part, reason);
    }
    out = static_cast<Enum>(in);
    return true;
}

} // namespace Vanillahall
