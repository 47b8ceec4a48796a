package dev.jackdawdale.control

import dev.jackdawdale.model.Answer
import dev.jackdawdale.model.AttemptResult
import dev.jackdawdale.model.HeldAttempt
import dev.jackdawdale.model.HostId
import dev.jackdawdale.model.Outcome
import dev.jackdawdale.model.Refusal
import dev.jackdawdale.model.WorkId
import dev.jackdawdale.model.blob
import dev.jackdawdale.model.sampleWorker
import dev.jackdawdale.wire.Command
import dev.jackdawdale.wire.ControlMessage
import dev.jackdawdale.wire.EntryMessage
import dev.jackdawdale.wire.Reply
import dev.jackdawdale.wire.WorkStage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private val answer = Answer(200, "text/plain", blob("plan"))

private fun FakeCell.finish(link: FakeLink, dispatch: ControlMessage.Dispatch) = loop.received(
    link,
    EntryMessage.AttemptFinished(
        dispatch.workId,
        dispatch.token,
        AttemptResult.Answered(answer),
        runTimeMs = 5
    )
)

/** Each test is named after the failure that it guards against. */
class ControlLoopTest :
    FunSpec({
        test("a dispatch or a reply is sent before the decision is durable") {
            val cell = FakeCell()
            val link = cell.ready()
            cell.call(link, 10, submit("r1"))
            cell.decide()
            link.sentOf<ControlMessage.Dispatch>().shouldBeEmpty()
            link.replyTo(10) shouldBe null
            cell.commit()
            link.sentOf<ControlMessage.Dispatch>() shouldHaveSize 1
            link.replyTo(10).shouldBeInstanceOf<Reply.Work>()
        }

        test("an entry host that looks for the leader is not told of the new one") {
            val cell = FakeCell()
            cell.loop.lostLeadership(2)
            val link = FakeLink(HostId("e9"))
            cell.loop.received(link, EntryMessage.FindLeader)
            link.sent shouldBe listOf(ControlMessage.NotLeader(HostId("c1")))
            link.closed shouldBe false
            cell.loop.becameLeader(3)
            link.sent.last() shouldBe ControlMessage.Leads(3)
            cell.loop.received(link, EntryMessage.FindLeader)
            link.sent.last() shouldBe ControlMessage.Leads(3)
        }

        test("a former leader answers from a decision that was not committed") {
            val cell = FakeCell()
            val link = cell.ready()
            cell.call(link, 10, submit("r1"))
            cell.decide()
            cell.loop.lostLeadership(2)
            link.replyTo(10) shouldBe null
            link.closed shouldBe true
        }

        test("a call that arrives during a failed leadership transfer is lost") {
            val cell = FakeCell()
            val link = cell.ready()
            cell.accepting = false
            cell.call(link, 10, submit("r1"))
            cell.runAndCommitPasses()
            link.replyTo(10) shouldBe null
            cell.accepting = true
            cell.runAndCommitPasses()
            link.replyTo(10).shouldBeInstanceOf<Reply.Work>()
        }

        test("the caller's host gets the answer before the end is durable") {
            val cell = FakeCell()
            val link = cell.ready()
            cell.call(link, 10, submit("r1"))
            cell.runAndCommitPasses()
            cell.finish(link, link.sentOf<ControlMessage.Dispatch>().single())
            cell.decide()
            link.sentOf<ControlMessage.RequestEnded>().shouldBeEmpty()
            cell.commit()
            val ended = link.sentOf<ControlMessage.RequestEnded>().single()
            ended shouldBe
                ControlMessage.RequestEnded(
                    WorkId("acme/r1"),
                    Outcome.Succeeded,
                    answer,
                    attempts = 1
                )
            cell.records.map { it.workId to it.answer } shouldBe
                listOf(WorkId("acme/r1") to answer)
        }

        test("a resend through another entry host runs the request twice") {
            val cell = FakeCell()
            val first = cell.ready()
            val second = cell.openSession("e2")
            cell.call(first, 10, submit("r1"))
            cell.runAndCommitPasses()
            cell.call(second, 11, submit("r1"))
            cell.runAndCommitPasses()
            second.sentOf<ControlMessage.Dispatch>().shouldBeEmpty()
            cell.finish(first, first.sentOf<ControlMessage.Dispatch>().single())
            cell.runAndCommitPasses()
            second.sentOf<ControlMessage.RequestEnded>() shouldHaveSize 1
            cell.call(second, 12, submit("r1"))
            cell.runAndCommitPasses()
            val status = second.replyTo(12).shouldBeInstanceOf<Reply.Work>().status
            status.stage shouldBe WorkStage.ENDED
            status.answer shouldBe answer
        }

        test("a request ID is accepted for other work, before or after the first ended") {
            val cell = FakeCell()
            val link = cell.ready()
            val refused = Reply.Refused(Refusal.RequestIdReused(WorkId("acme/r1")))
            cell.call(link, 10, submit("r1"))
            cell.runAndCommitPasses()
            cell.call(link, 11, submit("r1", body = "other"))
            cell.runAndCommitPasses()
            link.replyTo(11) shouldBe refused
            cell.finish(link, link.sentOf<ControlMessage.Dispatch>().single())
            cell.runAndCommitPasses()
            cell.call(link, 12, submit("r1", body = "other"))
            cell.runAndCommitPasses()
            link.replyTo(12) shouldBe refused
        }

        test("a placement revoked before its commit is dispatched") {
            val cell = FakeCell()
            val link = cell.ready()
            cell.call(link, 10, submit("r1"))
            cell.decide()
            val reopened = cell.openSession("e1")
            cell.decide()
            cell.runAndCommitPasses()
            val dispatches = link.sentOf<ControlMessage.Dispatch>() +
                reopened.sentOf<ControlMessage.Dispatch>()
            dispatches shouldHaveSize 1
            cell.loop.committed.requests[WorkId("acme/r1")]?.placement?.token shouldBe
                dispatches.single().token
        }

        test("a new leader abandons an attempt that its entry host still holds") {
            val cell = FakeCell()
            val link = cell.ready()
            cell.call(link, 10, submit("r1"))
            cell.runAndCommitPasses()
            val dispatch = link.sentOf<ControlMessage.Dispatch>().single()
            cell.loop.lostLeadership(2)
            cell.loop.becameLeader(3)
            val held = listOf(HeldAttempt(dispatch.workId, dispatch.token))
            val reopened = cell.openSession("e1", held = held)
            cell.runAndCommitPasses()
            reopened.sentOf<ControlMessage.Dispatch>().shouldBeEmpty()
            cell.loop.committed.requests[WorkId("acme/r1")]?.placement?.token shouldBe
                dispatch.token
        }

        test("a non-idempotent request on a lost entry host is retried or ends as not run") {
            val cell = FakeCell()
            val link = cell.ready()
            val other = cell.openSession("e2")
            cell.call(link, 10, submit("r1"))
            cell.runAndCommitPasses()
            cell.loop.sessionClosed(link)
            repeat(50) {
                cell.nowMs += 100
                cell.loop.received(other, EntryMessage.SessionHeartbeat(draining = false))
                cell.runAndCommitPasses()
            }
            other.sentOf<ControlMessage.Dispatch>().shouldBeEmpty()
            cell.records.single().outcome.shouldBeInstanceOf<Outcome.MayHaveRun>()
        }

        test("a worker's poll is answered before its task is durable, or not at once after") {
            val cell = FakeCell()
            val link = cell.ready()
            val info = sampleWorker("w1")
            val announce =
                Command.AnnounceWorker(info, false, emptyList(), emptyList(), pollMs = 1_000)
            cell.call(link, 20, announce)
            cell.runAndCommitPasses()
            link.replyTo(20) shouldBe null
            cell.call(link, 21, Command.SubmitJob(dev.jackdawdale.model.sampleJob("acme", "j1")))
            cell.decide()
            link.replyTo(20) shouldBe null
            cell.commit()
            link.replyTo(20).shouldBeInstanceOf<Reply.WorkerOrders>().orders shouldHaveSize 1
        }
    })
