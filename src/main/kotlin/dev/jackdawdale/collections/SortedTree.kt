package dev.jackdawdale.collections

/**
 * An immutable sorted set with insertion, removal and lookup in O(log n). A binary heap with lazy
 * deletion does not guarantee that when thousands of entries are removed before their turn.
 *
 * It is a treap whose priorities are derived from the hash codes, so equal sets have equal shapes.
 */
internal class SortedTree<T : Comparable<T>> private constructor(private val root: Node<T>?) :
    Iterable<T> {
    val size: Int get() = sizeOf(root)

    fun isEmpty(): Boolean = root == null

    fun isNotEmpty(): Boolean = root != null

    /** The smallest value, or null when empty. */
    fun firstOrNull(): T? {
        var node = root ?: return null
        while (true) node = node.left ?: return node.value
    }

    /** The greatest value, or null when empty. */
    fun lastOrNull(): T? {
        var node = root ?: return null
        while (true) node = node.right ?: return node.value
    }

    operator fun contains(value: T): Boolean {
        var node = root
        while (node != null) {
            val order = value.compareTo(node.value)
            if (order == 0) return true
            node = if (order < 0) node.left else node.right
        }
        return false
    }

    operator fun plus(value: T): SortedTree<T> =
        if (value in this) this else SortedTree(insert(root, value, priorityOf(value)))

    operator fun minus(value: T): SortedTree<T> =
        if (value in this) SortedTree(remove(root, value)) else this

    /** Values in ascending order; each step takes at most O(log n). */
    override fun iterator(): Iterator<T> = iterator {
        val path = ArrayDeque<Node<T>>()
        var node = root
        while (node != null || path.isNotEmpty()) {
            while (node != null) {
                path.addLast(node)
                node = node.left
            }
            val next = path.removeLast()
            yield(next.value)
            node = next.right
        }
    }

    override fun equals(other: Any?): Boolean =
        other is SortedTree<*> && size == other.size && toList() == other.toList()

    override fun hashCode(): Int = toList().hashCode()

    override fun toString(): String = joinToString(prefix = "[", postfix = "]")

    internal companion object {
        private val emptyTree = SortedTree<String>(null)

        @Suppress("UNCHECKED_CAST")
        fun <T : Comparable<T>> empty(): SortedTree<T> = emptyTree as SortedTree<T>
    }
}

/** An empty sorted set. */
internal fun <T : Comparable<T>> sortedTreeOf(): SortedTree<T> = SortedTree.empty()

private class Node<T : Comparable<T>>(
    val value: T,
    val priority: Int,
    val left: Node<T>?,
    val right: Node<T>?
) {
    val size: Int = 1 + sizeOf(left) + sizeOf(right)

    fun withLeft(node: Node<T>?): Node<T> = Node(value, priority, node, right)

    fun withRight(node: Node<T>?): Node<T> = Node(value, priority, left, node)
}

private fun sizeOf(node: Node<*>?): Int = node?.size ?: 0

/** Mixes the hash code by MurmurHash3's finalizer: similar ids need unrelated priorities. */
private fun priorityOf(value: Any): Int {
    var hash = value.hashCode()
    hash = (hash xor (hash ushr 16)) * -0x7a143595
    hash = (hash xor (hash ushr 13)) * -0x3d4d51cb
    return hash xor (hash ushr 16)
}

private fun <T : Comparable<T>> insert(node: Node<T>?, value: T, priority: Int): Node<T> {
    if (node == null) return Node(value, priority, null, null)
    if (priority > node.priority) {
        return Node(value, priority, valuesBelow(node, value), valuesAbove(node, value))
    }
    return if (value < node.value) {
        node.withLeft(insert(node.left, value, priority))
    } else {
        node.withRight(insert(node.right, value, priority))
    }
}

private fun <T : Comparable<T>> valuesBelow(node: Node<T>?, value: T): Node<T>? = when {
    node == null -> null
    node.value < value -> node.withRight(valuesBelow(node.right, value))
    else -> valuesBelow(node.left, value)
}

private fun <T : Comparable<T>> valuesAbove(node: Node<T>?, value: T): Node<T>? = when {
    node == null -> null
    node.value < value -> valuesAbove(node.right, value)
    else -> node.withLeft(valuesAbove(node.left, value))
}

private fun <T : Comparable<T>> remove(node: Node<T>?, value: T): Node<T>? {
    if (node == null) return null
    val order = value.compareTo(node.value)
    return when {
        order < 0 -> node.withLeft(remove(node.left, value))
        order > 0 -> node.withRight(remove(node.right, value))
        else -> merge(node.left, node.right)
    }
}

private fun <T : Comparable<T>> merge(low: Node<T>?, high: Node<T>?): Node<T>? = when {
    low == null -> high
    high == null -> low
    low.priority > high.priority -> low.withRight(merge(low.right, high))
    else -> high.withLeft(merge(low, high.left))
}
