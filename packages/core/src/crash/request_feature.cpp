#include "vanillahall/core/crash/request_feature_func.h"

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t BeginningBytes = 64;   ///< Length of a body's beginning; shorter bodies have none besides their content.
constexpr std::size_t MaxPromptFeatures = 4; ///< Parts of a prompt that count: the first ones, and the last one.

constexpr std::array<std::string_view, FeatureKinds> Names{"content", "beginning", "prompt", "caller", "path"};

std::uint64_t hashOf(FeatureKind kind, std::string_view text, std::uint64_t path)
{
    // The kind makes features of equal texts differ.
    return XXH3_64bits_withSeed(text.data(), text.size(), path + static_cast<std::uint64_t>(kind));
}

void appendPromptFeatures(RequestFeatures &features, const std::vector<PromptPart> &parts, std::uint64_t path)
{
    const auto append = [&features, path](std::uint64_t part) {
        features.push_back({FeatureKind::Prompt, hashOf(FeatureKind::Prompt, std::to_string(part), path)});
    };
    const auto n = std::min(parts.size(), MaxPromptFeatures - 1);
    for (std::size_t at = 0; at < n; at++) {
        append(parts[at].id);
    }
    if (parts.size() > n) {
        append(parts.back().id);
    }
}

} // namespace

std::uint64_t
contentHash(std::string_view method, std::string_view target, std::string_view program, std::string_view body, std::string_view owner)
{
    const auto path = target.substr(0, target.find('?'));
    // A seed of 0 gives the hash without a seed.
    const auto seed = owner.empty() ? 0 : XXH3_64bits(owner.data(), owner.size());
    auto hash = XXH3_64bits_withSeed(method.data(), method.size(), seed);
    hash = XXH3_64bits_withSeed(path.data(), path.size(), hash);
    // A body identifies a content by itself; requests without a body differ only by their program.
    const auto &content = body.empty() ? program : body;
    return XXH3_64bits_withSeed(content.data(), content.size(), hash);
}

std::string_view featureName(FeatureKind kind)
{
    return Names.at(static_cast<std::size_t>(kind));
}

RequestFeatures requestFeatures(const FeatureSource &source)
{
    RequestFeatures features{{FeatureKind::Content, contentHash(source.method, source.target, source.program, source.body, source.owner)}};
    const auto path = contentHash(source.method, source.target, {}, {}, source.owner);
    if (source.body.size() > BeginningBytes) {
        features.push_back({FeatureKind::Beginning, hashOf(FeatureKind::Beginning, source.body.substr(0, BeginningBytes), path)});
    }
    if (source.promptParts != nullptr) {
        appendPromptFeatures(features, *source.promptParts, path);
    }
    if (!source.program.empty()) {
        features.push_back({FeatureKind::Caller, hashOf(FeatureKind::Caller, source.program, path)});
    }
    features.push_back({FeatureKind::Path, hashOf(FeatureKind::Path, {}, path)});
    return features;
}

std::string featureText(const RequestFeatures &features)
{
    std::string text;
    for (const auto &it : features) {
        text.append(text.empty() ? "" : ",").append(featureName(it.kind)).append(":").append(std::to_string(it.hash));
    }
    return text;
}

} // namespace Vanillahall::Forward
