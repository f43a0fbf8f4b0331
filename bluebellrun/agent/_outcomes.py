"""Apply claim verdicts to executions, and derive fates and claim states from them."""

from bluebellrun.agent._execution import Execution, ExecutionState
from bluebellrun.ledger import ClaimState
from bluebellrun.messages import ClaimAnswer, ClaimVerdict, Fate, FateAnswer

DECLINED_RETRY_S = 1.0
REPLAYED_HEADER = ("idempotency-replayed", "true")


async def apply_verdict(execution: Execution, answer: ClaimAnswer) -> bool:
    """End an execution according to its claim verdict; return true when it may run."""
    record = answer.record
    match answer.verdict:
        case ClaimVerdict.GRANTED:
            return True
        case ClaimVerdict.REPLAY if record is not None and record.result is not None:
            result = record.result
            execution.record_head(result.status, [*result.headers, REPLAYED_HEADER])
            await execution.append(result.body)
            execution.complete()
        case ClaimVerdict.FINISHED if record is not None:
            reason = "an earlier request with this Idempotency-Key ran; its answer was not kept"
            execution.refuse_repeated(record.request, reason, finished=True)
        case ClaimVerdict.UNSETTLED if record is not None:
            reason = f"an earlier request with this Idempotency-Key may have run: {answer.reason}"
            execution.refuse_repeated(record.request, reason, finished=False)
        case ClaimVerdict.OTHER_REQUEST:
            reason = "this Idempotency-Key was used for another request; use a new key"
            execution.refuse(reason, None, conflict=True)
        case ClaimVerdict.EXPIRED:
            execution.refuse(answer.reason, None, conflict=True)
        case _:
            execution.refuse(f"the key cannot be claimed: {answer.reason}", DECLINED_RETRY_S)
    return False


def fate_of(execution: Execution) -> FateAnswer:
    """Return the fate of an attempt from its execution."""
    match execution.state:
        case ExecutionState.WAITING:
            return FateAnswer(Fate.WAITING, "it waits at the agent")
        case ExecutionState.RUNNING:
            fate = Fate.RUNNING if execution.sent else Fate.WAITING
            return FateAnswer(fate, "it is in progress")
        case ExecutionState.COMPLETE:
            return FateAnswer(Fate.RAN, "it ran to its end")
        case ExecutionState.REFUSED:
            return FateAnswer(Fate.NOT_RUN, execution.reason)
        case ExecutionState.FAILED:
            return FateAnswer(Fate.UNKNOWN, execution.reason)


def claim_state_of(execution: Execution) -> ClaimState:
    """Return the claim state of an execution that was not refused."""
    if execution.state is ExecutionState.COMPLETE:
        return ClaimState.RAN
    return ClaimState.UNKNOWN
