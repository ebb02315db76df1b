package org.dahliapass.decisions.configuration;

import java.util.Optional;

/** A value that only grows: what is added never takes away what stands. */
public sealed interface MergeableItem extends StoreItem
        permits Pointer, CustomerIndex, TemplateText {

    /**
     * Returns what the key must hold so that it holds this value and what stands.
     *
     * @param standing what the key holds now
     * @throws IllegalArgumentException if the standing value is of another type
     */
    MergeableItem mergedWith(Optional<StoreItem> standing);
}
