package dev.jackdawdale.collections

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import java.util.TreeSet
import kotlin.random.Random

class SortedTreeTest :
    FunSpec({
        context("a value, and so a request, is lost or repeated") {
            withData(1L, 2L, 3L) { seed ->
                val random = Random(seed)
                val expected = TreeSet<Int>()
                var tree = sortedTreeOf<Int>()
                repeat(5_000) {
                    val value = random.nextInt(500)
                    if (random.nextBoolean()) {
                        expected += value
                        tree += value
                    } else {
                        expected -= value
                        tree -= value
                    }
                    tree.size shouldBe expected.size
                    tree.firstOrNull() shouldBe expected.firstOrNull()
                    tree.lastOrNull() shouldBe expected.lastOrNull()
                    (value in tree) shouldBe (value in expected)
                }
                tree.toList() shouldBe expected.toList()
            }
        }

        test("an insertion or removal changes the original set") {
            val first = sortedTreeOf<Int>() + 2 + 1
            val second = first + 3 - 1
            first.toList() shouldBe listOf(1, 2)
            second.toList() shouldBe listOf(2, 3)
        }
    })
