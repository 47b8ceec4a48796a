package dev.jackdawdale.model

import kotlinx.serialization.Serializable

/**
 * CPU, memory and accelerators that a machine has or a task needs.
 *
 * @property cpuMillis thousandths of a CPU core
 * @property memoryMib mebibytes
 * @property accelerators whole devices
 */
@Serializable
data class Resources(val cpuMillis: Long = 0, val memoryMib: Long = 0, val accelerators: Long = 0)

operator fun Resources.plus(other: Resources): Resources = Resources(
    cpuMillis + other.cpuMillis,
    memoryMib + other.memoryMib,
    accelerators + other.accelerators
)

operator fun Resources.minus(other: Resources): Resources = Resources(
    cpuMillis - other.cpuMillis,
    memoryMib - other.memoryMib,
    accelerators - other.accelerators
)

operator fun Resources.times(count: Int): Resources =
    Resources(cpuMillis * count, memoryMib * count, accelerators * count)

/** True when no dimension exceeds [available]. */
fun Resources.fitsInto(available: Resources): Boolean = cpuMillis <= available.cpuMillis &&
    memoryMib <= available.memoryMib &&
    accelerators <= available.accelerators

/** The larger value in each dimension. */
fun Resources.componentwiseMax(other: Resources): Resources = Resources(
    maxOf(cpuMillis, other.cpuMillis),
    maxOf(memoryMib, other.memoryMib),
    maxOf(accelerators, other.accelerators)
)

/** Largest amount of a resource of one task or machine; sums over a cell fit into 64 bits. */
internal const val MAX_RESOURCE = 1_000_000_000_000L

/** True when each dimension is from 0 to [MAX_RESOURCE]. */
internal fun Resources.isInRange(): Boolean =
    listOf(cpuMillis, memoryMib, accelerators).all { it in 0..MAX_RESOURCE }

/** True when no dimension is negative. */
fun Resources.isNonNegative(): Boolean = cpuMillis >= 0 && memoryMib >= 0 && accelerators >= 0
