/** JSON encoding and decoding of the API for callers and operators. */
#pragma once

#include "api_type.h"

#include "vanillahall/core/error_type.h"
#include "vanillahall/core/operator_type.h"
#include "vanillahall/net/http_type.h"

#include <optional>
#include <string>

namespace Vanillahall {

/** Request headers used by the API, in lower case. */
inline constexpr const char *ProgramHeader = "x-vanillahall-program";
inline constexpr const char *TurnHeader = "x-vanillahall-turn";
inline constexpr const char *ClassHeader = "x-vanillahall-class";
inline constexpr const char *IfMatchHeader = "if-match";
inline constexpr const char *IdempotencyHeader = "idempotency-key";

/**
 * Decodes a request.
 * @param defaultClass Class for OpenAI-compatible requests without a class header.
 * @param reason Set to the error if the request is invalid; its run state is NotRun.
 * @return The request, or nothing if it is invalid.
 */
std::optional<ApiRequest> decodeApi(const HttpRequest &request, const ClassName &defaultClass, Error &reason);

/** @return Hash of a call's input; the same for the native and the OpenAI-compatible API. */
ContentHash inputHash(const CallInput &input);

/** @return True if the request is reserved to operators. */
bool isOperatorApi(const ApiRequest &request);

/** @return The HTTP response for the outcome of a caller's request. */
HttpResponse encodeAnswer(const CallerAnswer &answer);

/** @return The HTTP response for an operator's configuration change. */
HttpResponse encodeAnswer(const ConfigAnswer &answer);

/** @return The HTTP response for an error. */
HttpResponse encodeError(const Error &error);

/** @return The configuration as JSON, with its version as ETag. */
HttpResponse encodeConfig(const ConfigRow &config);

/** @return A server-sent event with generated tokens. @param firstToken Index of the first of them. */
std::string encodeTokens(const CallKey &key, std::uint32_t firstToken, const std::vector<std::string> &pieces);

/** @return The final server-sent event of a stream, with the complete result. */
std::string encodeLastEvent(const CallerAnswer &answer);

/** Metadata of a completion in the OpenAI-compatible API. */
struct ChatCompletionInfo
{
    CallKey key;        ///< The turn.
    ModelName model;    ///< Requested model.
    WallTime createdAt; ///< Time of the request.
};

/** @return The HTTP response of a completion in the OpenAI-compatible API. */
HttpResponse encodeChat(const ChatCompletionInfo &completion, const CallResult &result);

/** @return One chunk event of the OpenAI-compatible API for each piece of text. */
std::string encodeChatPieces(const ChatCompletionInfo &completion, const std::vector<std::string> &pieces);

/** @return The final events of a stream of the OpenAI-compatible API: finish reason, usage if wanted, and "[DONE]". */
std::string encodeChatEnd(const ChatCompletionInfo &completion, const CallResult &result, bool includeUsage);

/** @return An error event of the OpenAI-compatible API, for a stream whose response head was already sent. */
std::string encodeChatError(const Error &error);

} // namespace Vanillahall
