/**
 * Features by which requests that crash servers are recognized.
 * Load pattern: what crashes a server comes again with changes that don't matter to the fault: another program, a longer body. Its features
 * are computed once for each request, from at most a few hundred bytes besides the hash of the whole body.
 */
#pragma once

#include "vanillahall/core/forward_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall::Forward {

/** What a feature is made of, from narrow to broad. All of them include customer, method and path. */
enum class FeatureKind : std::uint8_t {
    Content,   ///< The whole body, or the program instead of an empty body.
    Beginning, ///< The first bytes of the body.
    Prompt,    ///< One part of the prompt.
    Caller,    ///< The program.
    Path,      ///< Nothing else.
};

inline constexpr std::size_t FeatureKinds = 5;

/** @return Name of a kind for logs. */
std::string_view featureName(FeatureKind kind);

/** A property that requests can share. */
struct RequestFeature
{
    FeatureKind kind{};
    std::uint64_t hash{}; ///< Differs between kinds.

    bool operator==(const RequestFeature &) const = default;
};

/** Features of one request; the first one is its content. */
using RequestFeatures = std::vector<RequestFeature>;

/** Parts of a request from which its features are made. */
struct FeatureSource
{
    std::string_view method;
    std::string_view target;                      ///< Path and query; the query doesn't count.
    std::string_view program;                     ///< Program; may be empty.
    std::string_view body;                        ///< Body as the client sent it; may be empty.
    std::string_view owner;                       ///< Prefix of the customer's keys; empty without a customer.
    const std::vector<PromptPart> *promptParts{}; ///< Parts of the prompt; may be null.
};

/**
 * @param target Path of the request; its query, if any, doesn't count.
 * @return Hash that identifies the content of a request: method, path and body, or the program instead of an empty body.
 */
std::uint64_t
contentHash(std::string_view method, std::string_view target, std::string_view program, std::string_view body, std::string_view owner = {});

/** @return Features of a request, from narrow to broad. */
RequestFeatures requestFeatures(const FeatureSource &source);

/** @return Text such as "content:17,path:4" for logs. */
std::string featureText(const RequestFeatures &features);

} // namespace Vanillahall::Forward
