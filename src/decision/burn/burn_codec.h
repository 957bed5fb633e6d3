#ifndef SRC_DECISION_BURN_BURN_CODEC_H_
#define SRC_DECISION_BURN_BURN_CODEC_H_

#include <string>
#include <vector>

#include "decision/burn/burn_ledger.h"
#include "wasabihook/burn_counts.h"

namespace wasabihook {

// JSON format of burn counts, as stored in the platform and sent to peers.
// Decoders throw std::invalid_argument if the text is malformed.

std::string EncodeBurnLedger(const BurnLedger& ledger);
BurnLedger DecodeBurnLedger(const std::string& text);

std::string EncodeBurnBuckets(const std::vector<BurnBucket>& buckets);
std::vector<BurnBucket> DecodeBurnBuckets(const std::string& text);

}  // namespace wasabihook

#endif  // SRC_DECISION_BURN_BURN_CODEC_H_
