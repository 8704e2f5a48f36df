// Handles control messages of other boxes.
#include "NodePartsPriv.h"

namespace porttiller {

namespace {

wire::Envelope
MakeAck()
{
  wire::Envelope ack;
  ack.mutable_ack();
  return ack;
}

} // namespace

wire::Envelope
Node::Parts::ReplyToAttemptQuery(const wire::AttemptRequest& aRequest)
{
  AttemptReport report;
  const auto attempt = AttemptId::Parse(aRequest.attempt());
  const Incarnation expectedIncarnation(aRequest.home_incarnation());
  if (attempt) {
    report = aRequest.revoke() ? mHome.Revoke(*attempt, expectedIncarnation)
                               : mHome.Query(*attempt, expectedIncarnation);
  }
  wire::Envelope envelope;
  auto* reply = envelope.mutable_attempt_reply();
  reply->set_state(static_cast<std::uint32_t>(report.mState));
  reply->set_outcome(static_cast<std::uint32_t>(report.mOutcome));
  const auto& answer = report.mAnswer;
  if (answer && answer->mRequestKey == aRequest.request_key()) {
    reply->set_has_answer(true);
    reply->set_status(answer->mStatus);
    reply->set_content_type(answer->mContentType);
    reply->set_body(answer->mBody);
  }
  return envelope;
}

void
Node::Parts::HandlePeer(const wire::Envelope& aRequest,
                        const PeerReplier& aReply)
{
  if (!mControllersReady) {
    return; // without a reply; the sender sends again
  }
  if (aRequest.has_indirect_probe()) {
    mMembership->OnIndirectProbe(aRequest, aReply);
  } else if (const auto answer = ReplyTo(aRequest)) {
    aReply(*answer);
  }
}

std::optional<wire::Envelope>
Node::Parts::ReplyTo(const wire::Envelope& aRequest)
{
  switch (aRequest.body_case()) {
    case wire::Envelope::kAttempt:
      return ReplyToAttemptQuery(aRequest.attempt());
    case wire::Envelope::kProbe:
      return mMembership->OnProbe(aRequest);
    case wire::Envelope::kDeltaRequest:
      return mConfig->OnDeltaRequest(aRequest.delta_request());
    case wire::Envelope::kHealth:
      if (mEjection) {
        return mEjection->OnHealthRequest(aRequest.health());
      }
      return std::nullopt;
    case wire::Envelope::kBoxRecords:
      if (mDirectory && !mDirectory->OnRecords(aRequest.box_records())) {
        return std::nullopt;
      }
      return MakeAck();
    case wire::Envelope::kDirectoryRequest:
      if (mDirectory) {
        return mDirectory->OnDirectoryRequest(aRequest.directory_request());
      }
      return std::nullopt;
    case wire::Envelope::kDirectoryExchange:
      if (mDirectory) {
        return mDirectory->OnDirectoryExchange(aRequest.directory_exchange());
      }
      return std::nullopt;
    case wire::Envelope::kServerNews:
      mServerUpdates->OnServerUpdate(aRequest.server_news());
      return std::nullopt; // a one-way message
    case wire::Envelope::kCrashReport:
      mCrashes->OnReport(aRequest.crash_report());
      return MakeAck();
    case wire::Envelope::kCrashRequest:
      return mCrashes->OnRequest();
    case wire::Envelope::kWorkspaceReport:
      return mLimits->OnReport(aRequest);
    case wire::Envelope::kWorkspaceGrants:
      mLimits->OnGrants(aRequest.workspace_grants());
      return std::nullopt; // a one-way message
    case wire::Envelope::kAnnounce: {
      mConfig->OnAnnounce(aRequest);
      return MakeAck();
    }
    default:
      return std::nullopt;
  }
}

} // namespace porttiller
