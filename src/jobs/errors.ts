/** Errors about the stored records of jobs. Each names its job and, if there is one, the key. */

/** An error about one job. */
export abstract class JobError extends Error {
  constructor(
    readonly job: string,
    message: string,
  ) {
    super(message);
  }
}

/** The record at this key is missing or cannot be read. */
export class UnreadableRecordError extends JobError {
  constructor(
    job: string,
    readonly key: string,
  ) {
    super(job, `${key} is missing or unreadable`);
  }
}

/** A run record has a version that only a different leader can have written. */
export class UnexpectedVersionError extends JobError {
  constructor(
    job: string,
    readonly key: string,
  ) {
    super(job, `unexpected version of ${key}`);
  }
}

/** A dependency of a job is not in the store. */
export class MissingDependencyError extends JobError {
  constructor(
    job: string,
    readonly dependency: string,
  ) {
    super(job, `${dependency}, a dependency of ${job}, is missing`);
  }
}

/** The job changed while it was read, or chunks of its dependency list are missing. */
export class ChangedJobError extends JobError {
  constructor(job: string) {
    super(job, `${job} changed while it was read, or chunks of its dependency list are missing`);
  }
}

/** The store reported a conflict when chunks were written, but named none of their keys. */
export class UnnamedConflictError extends JobError {
  constructor(job: string) {
    super(job, `store conflict on the dependency chunks of ${job} names no key`);
  }
}

/** Violated invariant: a job whose state is needed must be cached or checked. */
export class UncachedJobError extends JobError {
  constructor(job: string) {
    super(job, `${job} is not cached`);
  }
}

/** Violated invariant: each indexed record in the store and each task belongs to a section. */
export class UnknownSectionError extends JobError {
  constructor(
    job: string,
    readonly index: number,
  ) {
    super(job, `${job} has no section ${index}`);
  }
}
