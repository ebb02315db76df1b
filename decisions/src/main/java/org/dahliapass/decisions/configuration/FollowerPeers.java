package org.dahliapass.decisions.configuration;

import java.util.List;
import org.dahliapass.model.ServiceId;
import org.dahliapass.model.VmIdentity;

/**
 * The view of the member list that a {@link ConfigurationFollower} needs; all lists exclude this
 * VM.
 */
public interface FollowerPeers {

    /** Returns whether this VM is in the cell of the service. */
    boolean serves(ServiceId service);

    /** Returns all live members in any order. */
    List<VmIdentity> members();

    /** Returns the members to fetch a group from: for a service its cell, else a few members. */
    List<VmIdentity> groupSources(CustomerGroup group);

    /** Returns the members to fetch a text from: watchers of this VM's zone, then cell members. */
    List<VmIdentity> textSources(ChangeRecord record);

    /** Returns this VM's rank, from 0, among the VMs that may read a group from the store. */
    int storeRank(CustomerGroup group);
}
