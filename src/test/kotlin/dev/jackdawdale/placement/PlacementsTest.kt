package dev.jackdawdale.placement

import dev.jackdawdale.model.CellState
import dev.jackdawdale.model.ChangeId
import dev.jackdawdale.model.Event
import dev.jackdawdale.model.Resources
import dev.jackdawdale.model.apply
import dev.jackdawdale.model.sampleContract
import dev.jackdawdale.model.sampleJob
import dev.jackdawdale.model.sampleWorker
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class PlacementsTest :
    FunSpec({
        test("a waiting task is never placed") {
            val events = listOf(
                Event.ContractChanged(ChangeId("c"), sampleContract("acme")),
                Event.WorkerJoined(sampleWorker("w1", capacity = Resources(4_000, 8_192, 0))),
                Event.JobAccepted(sampleJob("acme", "j1", taskCount = 10), 1)
            )
            val state = events.fold(CellState()) { all, event -> all.apply(event, 0) }
            val placed = place(state, placementState(state, 0), 0, 100)
            placed.events.size shouldBe 4
        }
    })
