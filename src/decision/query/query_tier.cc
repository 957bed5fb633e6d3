#include "wasabihook/query_tier.h"

#include <utility>

#include "decision/query/query_tier_core.h"

namespace wasabihook {
namespace {

class QueryTierImpl : public QueryTier {
 public:
  explicit QueryTierImpl(QueryTierDeps deps)
      : m_core(std::make_shared<QueryTierCore>(std::move(deps))) {}

  QueryHandle Submit(CallerRequest request, ReplyCallback done) override {
    return m_core->Submit(std::move(request), std::move(done));
  }
  void Cancel(QueryHandle handle) override { m_core->Cancel(handle); }
  void Drain(std::function<void()> drained) override {
    m_core->Drain(std::move(drained));
  }
  size_t in_flight() const override { return m_core->in_flight(); }
  DroppedReplies dropped_replies() const override {
    return m_core->dropped_replies();
  }

 private:
  const std::shared_ptr<QueryTierCore> m_core;
};

}  // namespace

std::unique_ptr<QueryTier> QueryTier::Create(QueryTierDeps deps) {
  return std::make_unique<QueryTierImpl>(std::move(deps));
}

}  // namespace wasabihook
