//! A segment tree that finds the maximum of many values and can increment all values up to a position.

/// A maximum and its position.
#[derive(Clone, Copy)]
pub(super) struct Maximum {
    pub(super) value: f64,
    pub(super) position: usize,
}

#[derive(Clone, Copy)]
struct Node {
    /// Maximum of the subtree, including `increment`.
    max: Maximum,
    /// Pending increment of all values in the subtree, not yet added to the children.
    increment: f64,
}

/// The values by position. The maximum of the positions from 0 to `n` is found in logarithmic time.
pub(super) struct MaxTree {
    /// Number of leaves, a power of two.
    size: usize,
    /// The root is at index 1, the children of `n` are at `2n` and `2n + 1`, and the leaves start at index
    /// `size`.
    nodes: Vec<Node>,
}

impl MaxTree {
    pub(super) fn new(values: &[f64]) -> MaxTree {
        let size = values.len().next_power_of_two();
        let empty = Maximum { value: f64::NEG_INFINITY, position: 0 };
        let mut nodes = vec![Node { max: empty, increment: 0.0 }; 2 * size];
        for (position, value) in values.iter().enumerate() {
            nodes[size + position].max = Maximum { value: *value, position };
        }
        let mut tree = MaxTree { size, nodes };
        (1..size).rev().for_each(|node| tree.update(node));
        tree
    }

    /// Recomputes a node's maximum from those of its children.
    fn update(&mut self, node: usize) {
        let (left, right) = (self.nodes[2 * node].max, self.nodes[2 * node + 1].max);
        let max = if left.value >= right.value { left } else { right };
        let increment = self.nodes[node].increment;
        self.nodes[node].max = Maximum { value: max.value + increment, position: max.position };
    }

    /// Adds 1 to each value at positions up to and including `last`, and returns their maximum.
    pub(super) fn increment_up_to(&mut self, last: usize) -> Maximum {
        let mut node = self.size + last;
        self.nodes[node].max.value += 1.0;
        let mut max = self.nodes[node].max;
        while node > 1 {
            if node % 2 == 1 {
                // All positions of the left sibling are before `last`.
                let left = &mut self.nodes[node - 1];
                left.max.value += 1.0;
                left.increment += 1.0;
                if left.max.value >= max.value {
                    max = left.max;
                }
            }
            node /= 2;
            self.update(node);
            max.value += self.nodes[node].increment;
        }
        max
    }
}
