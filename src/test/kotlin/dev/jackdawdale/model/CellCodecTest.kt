package dev.jackdawdale.model

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.take

private const val SEED = 41L

private val sampleEvents = listOf(
    Event.ContractChanged(ChangeId("c1"), sampleContract("acme")),
    Event.WorkerJoined(sampleWorker("w1")),
    Event.EndpointJoined(sampleEndpoint("e1")),
    Event.RequestAccepted(sampleRequest("acme", "r1"), 1, HostId("h1")),
    Event.RequestPlaced(
        WorkId("acme/r1"),
        EndpointId("e1"),
        1,
        HostId("h1"),
        1,
        FencingToken(1),
        9_000
    ),
    Event.JobAccepted(sampleJob("acme", "j1", taskCount = 2), 1),
    Event.TaskPlaced(
        TaskId("acme/j1#0"),
        WorkerId("w1"),
        1,
        FencingToken(2),
        Resources(1_000, 1_024)
    )
)

class CellCodecTest :
    FunSpec({
        test("a decoded snapshot has lost or changed nothing of the state") {
            val state = CellState().apply(EventBatch(5_000, sampleEvents)).state
            decodeCellState(state.encode()) shouldBe state
        }

        test("a decoded log payload has lost or changed nothing of the batch") {
            val batch = EventBatch(5_000, sampleEvents)
            decodeEventBatch(batch.encode()) shouldBe batch
        }

        test("a truncated payload is an error, not a shorter batch") {
            val bytes = EventBatch(5_000, sampleEvents).encode()
            for (length in 0 until bytes.size) {
                shouldThrow<CorruptPayload> { decodeEventBatch(bytes.copyOf(length)) }
            }
        }

        test("random bytes fail only with CorruptPayload (seed $SEED)") {
            val random = RandomSource.seeded(SEED)
            Arb.byteArray(Arb.int(0..200), Arb.byte()).take(2_000, random).forEach { bytes ->
                shouldThrow<CorruptPayload> { decodeEventBatch(bytes) }
                shouldThrow<CorruptPayload> { decodeCellState(bytes) }
            }
        }
    })
